#include "HttpServer.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>

namespace lycheearch::standin {

namespace {

constexpr int MaxThreads = 2048;
constexpr int MaxQueued = 4096;
constexpr int MaxRequestsPerConnection = 1'000'000;

class Handler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit Handler(RequestFunction function)
        : m_function(std::move(function))
    {
    }
    void handleRequest(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response) override
    {
        m_function(request, response);
    }

private:
    RequestFunction m_function;
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit HandlerFactory(RequestFunction function)
        : m_function(std::move(function))
    {
    }
    Poco::Net::HTTPRequestHandler *
    createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new Handler(m_function);
    }

private:
    RequestFunction m_function;
};

} // namespace

std::unique_ptr<Poco::Net::HTTPServer>
startHttpServer(std::uint16_t port, Poco::ThreadPool &threads, RequestFunction function)
{
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", port), MaxQueued);
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(MaxThreads);
    params->setMaxQueued(MaxQueued);
    params->setKeepAlive(true);
    params->setMaxKeepAliveRequests(MaxRequestsPerConnection);
    params->setKeepAliveTimeout(Poco::Timespan(Poco::Timespan::MINUTES));
    Poco::Net::HTTPRequestHandlerFactory::Ptr factory = new HandlerFactory(std::move(function));
    auto server = std::make_unique<Poco::Net::HTTPServer>(factory, threads, socket, params);
    server->start();
    return server;
}

std::string readBody(Poco::Net::HTTPServerRequest &request)
{
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    return body;
}

void sendJson(Poco::Net::HTTPServerResponse &response, int status, const std::string &body)
{
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setContentType("application/json");
    response.sendBuffer(body.data(), body.size());
}

} // namespace lycheearch::standin
