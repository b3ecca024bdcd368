#pragma once

#include <string>

#include "OwnFormats/Backend.h"

namespace lycheearch {

/// One call of a plain service.
struct ServiceCall
{
    RequestId request;
    OperationName operation;
    std::string body;
    TimePoint deadline;
};

/// A plain service beside the model engines.
class PlainService
{
public:
    virtual ~PlainService() = default;

    virtual Result<BackendReport> report(const Endpoint &address) = 0;

    /// Sends a call once, on a connection that was proved live just before, and returns the whole
    /// answer. The failure's run state is NotRun only if no byte of the call was sent or the
    /// service said so.
    virtual Result<std::string> call(const BackendTarget &target, const ServiceCall &call,
                                     TimePoint now) = 0;
};

} // namespace lycheearch
