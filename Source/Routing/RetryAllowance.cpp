#include "Routing/RetryAllowance.h"

namespace lycheearch {

namespace {

constexpr int SpansPerWindow = 20;
/// Share of the ratio that is used, because the windows of the daemons are shifted against each
/// other.
constexpr double Margin = 0.85;

} // namespace

RetryAllowance::RetryAllowance(RetryBounds bounds)
    : m_bounds(bounds)
{
}

RetryAllowance::Span &RetryAllowance::currentSpan(const ServiceId &service, TimePoint now)
{
    std::deque<Span> &spans = m_spans[service];
    while (!spans.empty() && spans.front().start <= now - m_bounds.window) {
        spans.pop_front();
    }
    if (spans.empty() || now - spans.back().start >= m_bounds.window / SpansPerWindow) {
        spans.push_back({now, 0, 0});
    }
    return spans.back();
}

void RetryAllowance::onRequest(const ServiceId &service, TimePoint now)
{
    ++currentSpan(service, now).requests;
}

bool RetryAllowance::withdraw(const ServiceId &service, TimePoint now)
{
    Span &current = currentSpan(service, now);
    int requests = 0;
    int repeats = 0;
    for (const Span &span : m_spans[service]) {
        requests += span.requests;
        repeats += span.repeats;
    }
    if (repeats + 1 > m_bounds.ratio * Margin * requests + m_bounds.slack) {
        return false;
    }
    ++current.repeats;
    return true;
}

} // namespace lycheearch
