#pragma once

#include <Poco/Net/HTTPRequestHandler.h>

#include "Daemon/FrontEnd.h"

namespace lycheearch {

/// Handles health checks, metrics and the operator API. The operator API requires the operator key.
class OperatorHandler : public Poco::Net::HTTPRequestHandler
{
public:
    OperatorHandler(const FrontEndDependencies &dependencies, CallerSockets &sockets);
    void handleRequest(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response) override;

private:
    void handleOperatorRequest(Poco::Net::HTTPServerRequest &request,
                               Poco::Net::HTTPServerResponse &response, const std::string &path);
    /// Applies a provisional configuration record, which the operator's tool sends if the log does
    /// not respond.
    void addProvisionalRecord(Poco::Net::HTTPServerRequest &request,
                              Poco::Net::HTTPServerResponse &response);
    std::string statusJson() const;

    const FrontEndDependencies &m_dependencies;
    CallerSockets &m_sockets;
};

} // namespace lycheearch
