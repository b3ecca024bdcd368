#include "Request/Pipeline.h"

namespace lycheearch {

Pipeline::Pipeline(std::vector<std::unique_ptr<Filter>> filters, Timeline &timeline,
                   Metrics &metrics, const Clock &clock)
    : m_filters(std::move(filters))
    , m_timeline(timeline)
    , m_metrics(metrics)
    , m_clock(clock)
{
}

Status Pipeline::run(RequestContext &context) const
{
    Status failure;
    std::size_t applied = 0;
    while (applied < m_filters.size() && !failure && !context.result) {
        failure = m_filters[applied]->apply(context);
        ++applied;
    }
    // A repeat of a failed request returns the same failure.
    if (!failure && context.result && context.result->failure) {
        failure = context.result->failure;
    }
    while (applied > 0) {
        --applied;
        m_filters[applied]->onRequestEnd(context, failure);
    }
    const Duration latency = m_clock.now() - context.arrivedAt;
    const std::string kind = context.request.kind == RequestKind::Chat ? "chat" : "service";
    const std::string code = failure ? failure->code.message() : "ok";
    m_metrics.count("lycheearch_requests_total", "kind=\"" + kind + "\",code=\"" + code + "\"");
    m_metrics.observe("lycheearch_request_seconds", "kind=\"" + kind + "\"", latency);
    TimelineEvent event;
    event.kind = "end";
    event.request = context.request.id;
    event.session = context.request.session;
    event.detail = failure ? code + ", " + runStateName(failure->run) + ": " + failure->message
                           : std::string(context.replayed ? "answered again" : "answered")
            + " after " + std::to_string(toMilliseconds(latency)) + " ms";
    m_timeline.record(event);
    return failure;
}

} // namespace lycheearch
