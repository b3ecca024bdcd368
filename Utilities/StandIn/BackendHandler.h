#pragma once

#include "HttpServer.h"
#include "StandInBackend.h"

namespace lycheearch::standin {

/// HTTP interface of one simulated backend server: load reports, generations, calls and orders.
/// Faults: refuse (any positive value: answers 503), silent (milliseconds before a request is
/// handled), slow (milliseconds before the first byte of an answer), cut (number of answers to
/// truncate), crossed (number of answers to send with the id of another request).
class BackendHandler
{
public:
    explicit BackendHandler(StandInBackend &backend);
    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);

private:
    void generate(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void call(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
              const std::string &operation);
    void order(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);

    StandInBackend &m_backend;
};

} // namespace lycheearch::standin
