#pragma once

#include <string>

#include "Adapters/Backend.h"

namespace lycheearch {

/// One call to a plain service.
struct ServiceCall
{
    RequestId request;
    OperationName operation;
    std::string body;
    TimePoint deadline;
};

/// Interface to plain services: backend servers that are not model engines.
class PlainService
{
public:
    virtual ~PlainService() = default;

    /// Reads the load report of a service. Fails with BackendBroken.
    virtual Result<BackendReport> report(const Endpoint &address) = 0;

    /// Sends a call once, on a connection that was just checked, and returns the complete response
    /// body. A failure's run state is NotRun only if no byte of the call was sent or the service
    /// reported that it did not run the call.
    virtual Result<std::string> call(const BackendTarget &target, const ServiceCall &call,
                                     TimePoint now) = 0;
};

} // namespace lycheearch
