#pragma once

#include "Request/RequestContext.h"

namespace lycheearch {

/// One step of the request pipeline.
class Filter
{
public:
    virtual ~Filter() = default;

    /// Runs the step. No further filter is applied if this returns a failure or sets the result in
    /// the context.
    virtual Status apply(RequestContext &context) = 0;

    /// Called when the outcome of the request is known, once for each filter whose apply() ran, in
    /// reverse order. \p failure is empty for a successful request.
    virtual void onRequestEnd(RequestContext & /*context*/, const Status & /*failure*/) { }
};

} // namespace lycheearch
