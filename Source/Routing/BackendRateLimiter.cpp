#include "Routing/BackendRateLimiter.h"

#include <algorithm>

#include "Base/Hash.h"

namespace lycheearch {

namespace {

/// Allowance for daemons that have joined but are not yet counted, as a share of the counted ones.
constexpr double UnknownDaemonShare = 0.25;
/// Length of the periodic window in which a daemon may send one request to a cold server.
constexpr Duration ColdSendWindow = 200ms;
/// Number of recent send times that are kept for a server.
constexpr std::size_t MaxRecordedSends = 16;

} // namespace

BackendRateLimiter::BackendRateLimiter(const InstanceId &self)
    : m_coldWindowSeed(stableHash("cold/" + self.value()))
{
}

SendPermission BackendRateLimiter::permission(const BackendState &state, TimePoint now) const
{
    const ServerRun server{state.report.id, state.report.startedAt};
    if (m_notices.pauseLeft(server, now) > Duration::zero()) {
        return SendPermission::Paused;
    }
    if (!coldRateAllows(state, now)) {
        return SendPermission::Cold;
    }
    const std::optional<double> limit = m_notices.rateLimit(server);
    if (limit && !turnsOf(server, *limit).usableTurn(sendsTo(server.id).lastTurn, now)) {
        return SendPermission::RateLimited;
    }
    return SendPermission::Allowed;
}

TimePoint BackendRateLimiter::nextTurn(const ServerRun &server, double perSecond,
                                       TimePoint now) const
{
    return turnsOf(server, perSecond).nextTurn(sendsTo(server.id).lastTurn, now);
}

void BackendRateLimiter::onSent(const ServerRun &server, TimePoint now)
{
    Sends &sends = m_sends[server.id];
    sends.recent.push_back(now);
    if (sends.recent.size() > MaxRecordedSends) {
        sends.recent.pop_front();
    }
    const std::optional<double> limit = m_notices.rateLimit(server);
    if (!limit) {
        return;
    }
    if (const auto turn = turnsOf(server, *limit).usableTurn(sends.lastTurn, now)) {
        sends.lastTurn = *turn;
    }
}

const BackendRateLimiter::Sends &BackendRateLimiter::sendsTo(const InstanceId &id) const
{
    static const Sends none;
    const auto found = m_sends.find(id);
    return found == m_sends.end() ? none : found->second;
}

RateLimitTurns BackendRateLimiter::turnsOf(const ServerRun &server, double perSecond) const
{
    return {stableHash("turns/" + server.id.value()), perSecond, m_position};
}

bool BackendRateLimiter::coldRateAllows(const BackendState &state, TimePoint now) const
{
    const auto limits = m_coldLimits.find(state.report.service);
    if (limits == m_coldLimits.end() || limits->second.perSecond <= 0 || state.coldUntil <= now) {
        return true;
    }
    const double daemonRate =
        limits->second.perSecond / (std::max(1, limits->second.daemons) * (1 + UnknownDaemonShare));
    if (daemonRate < 1) {
        return inColdSendWindow(state, daemonRate, now);
    }
    const std::deque<TimePoint> &recent = sendsTo(state.report.id).recent;
    const auto allowed = std::min(static_cast<std::size_t>(daemonRate), MaxRecordedSends);
    return recent.size() < allowed || now - recent[recent.size() - allowed] >= Duration(1s);
}

bool BackendRateLimiter::inColdSendWindow(const BackendState &state, double daemonRate,
                                          TimePoint now) const
{
    // The windows of the daemons have random phases, so some seconds contain more windows than
    // average. The interval is longer by this factor, so that these seconds keep the rate limit.
    constexpr double randomPhaseReserve = 1.6;
    const auto interval = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(randomPhaseReserve / daemonRate));
    const Duration phase(static_cast<std::int64_t>(mixBits(m_coldWindowSeed)
                                                   % static_cast<std::uint64_t>(interval.count())));
    const Duration signedWindowOffset = (now - state.coldUntil + phase) % interval;
    const Duration windowOffset =
        signedWindowOffset < Duration::zero() ? signedWindowOffset + interval : signedWindowOffset;
    const std::deque<TimePoint> &recent = sendsTo(state.report.id).recent;
    const bool sentInWindow = !recent.empty() && now - recent.back() < interval / 2;
    return windowOffset < ColdSendWindow && !sentInWindow;
}

void BackendRateLimiter::prune(const FleetView &view, TimePoint now)
{
    m_notices.prune(now);
    std::erase_if(m_sends, [&](const auto &entry) { return view.backend(entry.first) == nullptr; });
}

} // namespace lycheearch
