#pragma once

#include <functional>
#include <memory>
#include <string>

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>

namespace lycheearch::standin {

using RequestFunction =
    std::function<void(Poco::Net::HTTPServerRequest &, Poco::Net::HTTPServerResponse &)>;

/// Starts an HTTP server on a loopback port. It calls \p function for each request, on the threads
/// of \p threads. Throws Poco::IOException if it can't bind the port.
std::unique_ptr<Poco::Net::HTTPServer>
startHttpServer(std::uint16_t port, Poco::ThreadPool &threads, RequestFunction function);

/// Reads the whole body of a request.
std::string readBody(Poco::Net::HTTPServerRequest &request);

/// Sends a complete response with a JSON body.
void sendJson(Poco::Net::HTTPServerResponse &response, int status, const std::string &body);

} // namespace lycheearch::standin
