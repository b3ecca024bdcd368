#pragma once

#include <string>

#include <Poco/Net/HTTPServerResponse.h>

#include "Base/Error.h"
#include "Base/Ids.h"

namespace lycheearch {

/// The JSON error body for a failure.
std::string failureJson(const Failure &failure, const RequestId &request);
/// The HTTP status code for a failure.
int httpStatusCode(const Failure &failure);

/// Sends \p body as the whole response.
void sendJson(Poco::Net::HTTPServerResponse &response, int status, const std::string &body);
/// Sends a failure as a JSON error, with Retry-After in seconds, rounded up, if the failure has a
/// retry delay. The connection is closed after TooLarge, since unread bytes of the body may follow.
void sendFailure(Poco::Net::HTTPServerResponse &response, const Failure &failure,
                 const RequestId &request);

} // namespace lycheearch
