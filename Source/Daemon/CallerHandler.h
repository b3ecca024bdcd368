#pragma once

#include <Poco/Net/HTTPRequestHandler.h>

#include "Daemon/FrontEnd.h"

namespace lycheearch {

/// Serves one request of a caller.
class CallerHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit CallerHandler(const FrontEndParts &parts);
    void handleRequest(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response) override;

private:
    void chat(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void service(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
                 const std::string &path);
    void models(const Poco::Net::HTTPServerRequest &request,
                Poco::Net::HTTPServerResponse &response);

    const FrontEndParts &m_parts;
    CallerRequestReader m_reader;
};

} // namespace lycheearch
