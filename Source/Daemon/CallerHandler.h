#pragma once

#include <Poco/Net/HTTPRequestHandler.h>

#include "Daemon/FrontEnd.h"

namespace lycheearch {

/// Handles one HTTP request of a caller: chat completions, calls of plain services and the list of
/// models. Failures are answered as JSON, or as an error event once a stream has begun.
class CallerHandler : public Poco::Net::HTTPRequestHandler
{
public:
    CallerHandler(const FrontEndDependencies &dependencies, CallerSockets &sockets);
    void handleRequest(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response) override;

private:
    void chat(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
              RequestPhase &phase);
    void service(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
                 const std::string &path, RequestPhase &phase);
    /// Runs a request that has arrived whole.
    Status run(RequestContext &context, RequestPhase &phase) const;
    void models(const Poco::Net::HTTPServerRequest &request,
                Poco::Net::HTTPServerResponse &response);

    const FrontEndDependencies &m_dependencies;
    CallerSockets &m_sockets;
    CallerRequestReader m_reader;
};

} // namespace lycheearch
