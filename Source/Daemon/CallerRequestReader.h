#pragma once

#include <Poco/Net/HTTPServerRequest.h>

#include "Request/RequestContext.h"

namespace lycheearch {

/// Parses and validates the HTTP requests of callers. It checks syntax and size only;
/// authentication and admission follow in the request pipeline.
class CallerRequestReader
{
public:
    CallerRequestReader(std::size_t maxBodyBytes, Duration defaultDeadline);

    /// Reads a chat request. \p now is the time from which the deadline counts. Fails with
    /// Malformed or TooLarge.
    Result<CallerRequest> readChat(Poco::Net::HTTPServerRequest &request, TimePoint now) const;
    /// Reads a call of a plain service. Fails with Malformed or TooLarge.
    Result<CallerRequest> readService(Poco::Net::HTTPServerRequest &request,
                                      const ServiceId &service, const OperationName &operation,
                                      TimePoint now) const;
    /// Reads the request body. Fails with TooLarge.
    Result<std::string> readBody(Poco::Net::HTTPServerRequest &request) const;
    /// The token of an "Authorization: Bearer" header; empty if there is none.
    static std::string bearerKey(const Poco::Net::HTTPServerRequest &request);

private:
    Result<CallerRequest> readHeaders(const Poco::Net::HTTPServerRequest &request,
                                      TimePoint now) const;

    std::size_t m_maxBodyBytes;
    Duration m_defaultDeadline;
};

} // namespace lycheearch
