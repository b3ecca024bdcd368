#pragma once

#include <Poco/Net/HTTPServerRequest.h>

#include "Request/RequestContext.h"

namespace lycheearch {

/// Reads requests of callers and checks their form.
class CallerRequestReader
{
public:
    CallerRequestReader(std::size_t maxBodyBytes, Duration defaultDeadline);

    /// Fails with Malformed or TooLarge.
    Result<CallerRequest> readChat(Poco::Net::HTTPServerRequest &request, TimePoint now) const;
    Result<CallerRequest> readService(Poco::Net::HTTPServerRequest &request,
                                      const ServiceId &service, const OperationName &operation,
                                      TimePoint now) const;
    Result<std::string> readBody(Poco::Net::HTTPServerRequest &request) const;
    /// The key of an "Authorization: Bearer" header; empty if there is none.
    static std::string bearerKey(const Poco::Net::HTTPServerRequest &request);

private:
    Result<CallerRequest> readHeaders(const Poco::Net::HTTPServerRequest &request,
                                      TimePoint now) const;

    std::size_t m_maxBodyBytes;
    Duration m_defaultDeadline;
};

} // namespace lycheearch
