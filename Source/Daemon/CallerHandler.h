#pragma once

#include <Poco/Net/HTTPRequestHandler.h>

#include "Daemon/FrontEnd.h"

namespace lycheearch {

/// Handles one HTTP request of a caller: chat completions, calls of plain services and the list of
/// models. Failures are answered as JSON, or as an error event once a stream has begun.
class CallerHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit CallerHandler(const FrontEndDependencies &dependencies);
    void handleRequest(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response) override;

private:
    void chat(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void service(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
                 const std::string &path);
    void models(const Poco::Net::HTTPServerRequest &request,
                Poco::Net::HTTPServerResponse &response);

    const FrontEndDependencies &m_dependencies;
    CallerRequestReader m_reader;
};

} // namespace lycheearch
