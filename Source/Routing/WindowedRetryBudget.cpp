#include "Routing/WindowedRetryBudget.h"

namespace lycheearch {

namespace {

constexpr int IntervalsPerWindow = 20;
/// Fraction of the ratio that is used. It is below 1 because the windows of the daemons are shifted
/// against each other.
constexpr double RatioSafetyFactor = 0.85;

} // namespace

WindowedRetryBudget::WindowedRetryBudget(RetryBounds bounds, TimePoint startedAt)
    : m_bounds(bounds)
    , m_startedAt(startedAt)
{
}

Duration WindowedRetryBudget::intervalLength() const
{
    return m_bounds.window / IntervalsPerWindow;
}

WindowedRetryBudget::Interval &WindowedRetryBudget::currentInterval(const ServiceId &service,
                                                                    TimePoint now)
{
    std::deque<Interval> &intervals = m_intervals[service];
    while (!intervals.empty()
           && intervals.front().start + intervalLength() <= now - m_bounds.window) {
        intervals.pop_front();
    }
    if (intervals.empty() || now - intervals.back().start >= intervalLength()) {
        intervals.push_back({now, 0, 0});
    }
    return intervals.back();
}

void WindowedRetryBudget::onRequest(const ServiceId &service, TimePoint now)
{
    ++currentInterval(service, now).requests;
}

RetryUsage WindowedRetryBudget::usage(const ServiceId &service, TimePoint now)
{
    currentInterval(service, now);
    RetryUsage usage;
    for (const Interval &interval : m_intervals[service]) {
        // Of an interval that is partly in the window, all retries count, and no request.
        usage.requests += interval.start > now - m_bounds.window ? interval.requests : 0;
        usage.retries += interval.retries;
    }
    const bool wholeWindow = now - m_startedAt >= m_bounds.window;
    usage.allowed =
        m_bounds.ratio * RatioSafetyFactor * usage.requests + (wholeWindow ? m_bounds.slack : 0);
    return usage;
}

bool WindowedRetryBudget::allows(const ServiceId &service, TimePoint now, double reserveShare)
{
    const RetryUsage counted = usage(service, now);
    return counted.retries + 1 <= counted.allowed * (1 - reserveShare);
}

bool WindowedRetryBudget::tryWithdraw(const ServiceId &service, TimePoint now, double reserveShare)
{
    if (!allows(service, now, reserveShare)) {
        return false;
    }
    ++currentInterval(service, now).retries;
    return true;
}

} // namespace lycheearch
