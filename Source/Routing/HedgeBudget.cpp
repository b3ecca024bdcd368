#include "Routing/HedgeBudget.h"

#include <algorithm>

#include "Base/Hash.h"

namespace lycheearch {

namespace {

constexpr int IntervalsPerWindow = 10;
/// Part of the share that is used: the thresholds of some daemons change within a window, and
/// chance may favour many at a time.
constexpr double ShareSafetyFactor = 0.75;
constexpr Duration MinWindow = 1s;
constexpr std::uint64_t ThresholdSteps = 1'000'000;

} // namespace

HedgeBudget::HedgeBudget(const InstanceId &self)
    : m_self(self.value())
    , m_window(MinWindow)
{
}

void HedgeBudget::setLimit(double maxShare, Duration window)
{
    m_maxShare = maxShare;
    m_window = std::max(window, MinWindow);
}

HedgeBudget::Interval &HedgeBudget::currentInterval(const ServiceId &service, TimePoint now)
{
    History &history = m_histories[service];
    std::deque<Interval> &intervals = history.intervals;
    while (!intervals.empty() && intervals.front().start <= now - m_window * EpochWindows) {
        intervals.pop_front();
    }
    if (intervals.empty()) {
        history.since = now;
    }
    if (intervals.empty() || now - intervals.back().start >= m_window / IntervalsPerWindow) {
        intervals.push_back({now, 0, 0});
    }
    return intervals.back();
}

void HedgeBudget::onRequest(const ServiceId &service, TimePoint now)
{
    ++currentInterval(service, now).requests;
}

double HedgeBudget::left(const ServiceId &service, TimePoint now)
{
    currentInterval(service, now);
    const History &history = m_histories[service];
    int requests = 0;
    int sent = 0;
    int requestsBefore = 0;
    for (const Interval &interval : history.intervals) {
        const bool inWindow = interval.start > now - m_window;
        (inWindow ? requests : requestsBefore) += interval.requests;
        // What was sent at the end of the interval is still in the window.
        const bool endsInWindow = interval.start + m_window / IntervalsPerWindow > now - m_window;
        sent += endsInWindow ? interval.sent : 0;
    }
    const Duration counted = std::min<Duration>(now - history.since, m_window * EpochWindows);
    const double windows =
        std::max(1.0, static_cast<double>(counted.count()) / static_cast<double>(m_window.count()));
    const double mean = (requests + requestsBefore) / windows;
    const double allowance = m_maxShare * ShareSafetyFactor * std::min<double>(requests, mean);
    return m_maxShare > 0 ? allowance + threshold(service, now) - sent : 0;
}

bool HedgeBudget::tryWithdraw(const ServiceId &service, TimePoint now)
{
    if (left(service, now) < 1) {
        return false;
    }
    ++currentInterval(service, now).sent;
    return true;
}

double HedgeBudget::threshold(const ServiceId &service, TimePoint now) const
{
    // The daemons' epochs begin at different times, so that their allowances don't add up when the
    // thresholds change.
    const std::uint64_t seed = stableHash("hedge/" + m_self + "/" + service.value());
    const auto epoch = static_cast<std::uint64_t>((m_window * EpochWindows).count());
    const auto time = static_cast<std::uint64_t>(now.time_since_epoch().count());
    const std::uint64_t number = (time + mixBits(seed) % epoch) / epoch;
    return static_cast<double>(mixBits(seed ^ mixBits(number)) % ThresholdSteps) / ThresholdSteps;
}

} // namespace lycheearch
