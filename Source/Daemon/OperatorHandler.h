#pragma once

#include <Poco/Net/HTTPRequestHandler.h>

#include "Daemon/FrontEnd.h"

namespace lycheearch {

/// Serves health checks, metrics and the operator's paths. The latter need the operator key.
class OperatorHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit OperatorHandler(const FrontEndParts &parts);
    void handleRequest(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response) override;

private:
    void handleOperator(Poco::Net::HTTPServerRequest &request,
                        Poco::Net::HTTPServerResponse &response, const std::string &path);
    void takeRecord(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    std::string statusText() const;

    const FrontEndParts &m_parts;
};

} // namespace lycheearch
