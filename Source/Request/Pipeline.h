#pragma once

#include <memory>
#include <vector>

#include "Base/Metrics.h"
#include "Request/Filter.h"
#include "Timeline/Timeline.h"

namespace lycheearch {

/// Applies the filters to a request in order until one produces a result or a failure, then reports
/// the outcome to them in reverse order. Records the metrics of the request and its last timeline
/// event.
class Pipeline
{
public:
    Pipeline(std::vector<std::unique_ptr<Filter>> filters, Timeline &timeline, Metrics &metrics,
             const Clock &clock);

    /// Processes a request. If no failure is returned, the context has a result.
    Status run(RequestContext &context) const;

private:
    std::vector<std::unique_ptr<Filter>> m_filters;
    Timeline &m_timeline;
    Metrics &m_metrics;
    const Clock &m_clock;
};

} // namespace lycheearch
