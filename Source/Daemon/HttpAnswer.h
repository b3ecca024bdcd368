#pragma once

#include <string>

#include <Poco/Net/HTTPServerResponse.h>

#include "Base/Error.h"
#include "Base/Ids.h"

namespace lycheearch {

/// The JSON object that callers get for a failure.
std::string failureJson(const Failure &failure, const RequestId &request);
/// The HTTP status of a failure.
int failureStatus(const Failure &failure);

void sendJson(Poco::Net::HTTPServerResponse &response, int status, const std::string &body);
void sendFailure(Poco::Net::HTTPServerResponse &response, const Failure &failure,
                 const RequestId &request);

} // namespace lycheearch
