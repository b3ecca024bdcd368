#pragma once

#include "Request/RequestContext.h"

namespace lycheearch {

/// One step of the request path.
class Filter
{
public:
    virtual ~Filter() = default;

    /// Does the step. A failure ends the request. An answer in the context ends it well.
    virtual Status apply(RequestContext &context) = 0;

    /// Called once for each filter whose apply() ran, last filter first, when the end of the
    /// request is known. \p failure is empty for an answered request.
    virtual void settle(RequestContext & /*context*/, const Status & /*failure*/) { }
};

} // namespace lycheearch
