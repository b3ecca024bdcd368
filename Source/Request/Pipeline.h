#pragma once

#include <memory>
#include <vector>

#include "Base/Metrics.h"
#include "Request/Filter.h"
#include "Timeline/Timeline.h"

namespace lycheearch {

/// The request path: runs the filters in order and settles them in reverse order.
class Pipeline
{
public:
    Pipeline(std::vector<std::unique_ptr<Filter>> filters, Timeline &timeline, Metrics &metrics,
             const Clock &clock);

    /// Runs a request to its end. Without a failure the context has an answer.
    Status run(RequestContext &context) const;

private:
    std::vector<std::unique_ptr<Filter>> m_filters;
    Timeline &m_timeline;
    Metrics &m_metrics;
    const Clock &m_clock;
};

} // namespace lycheearch
