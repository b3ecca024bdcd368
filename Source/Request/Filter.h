#pragma once

#include "Request/RequestContext.h"

namespace lycheearch {

/// One step of the request pipeline.
class Filter
{
public:
    virtual ~Filter() = default;

    /// Runs the step. The pipeline stops if this returns a failure or sets an answer in the
    /// context.
    virtual Status apply(RequestContext &context) = 0;

    /// Called once for each filter whose apply() ran, in reverse order, when the outcome of the
    /// request is known. \p failure is empty for a successful request.
    virtual void onRequestEnd(RequestContext & /*context*/, const Status & /*failure*/) { }
};

} // namespace lycheearch
