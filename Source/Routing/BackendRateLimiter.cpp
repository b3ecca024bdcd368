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

SendPermission BackendRateLimiter::permission(const BackendState &state, const ServerLoad &load,
                                              TimePoint now) const
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
    if (m_notices.maxRejections(server) && !brittleHasRoom(state, load, now)) {
        return SendPermission::Full;
    }
    return SendPermission::Allowed;
}

bool BackendRateLimiter::brittleHasRoom(const BackendState &state, const ServerLoad &load,
                                        TimePoint now) const
{
    const ServerRun server{state.report.id, state.report.startedAt};
    const TimePoint rejectedAt = m_notices.lastRejection(server);
    const bool rejected = rejectedAt != TimePoint();
    const Duration sinceRejection = rejected ? now - rejectedAt : Duration::max();
    if (sinceRejection < BrittleServerShare::RejectionPause) {
        return false;
    }
    const BrittleServerShare share = brittleShare(state);
    if (share.dividesSlots() && load.own < share.ownSlots()) {
        return load.all < state.report.slots;
    }
    const auto rate = share.turnRate(sinceRejection);
    const bool busy = share.dividesSlots() ? load.all > state.report.slots / 2.0 : load.own > 0;
    if (!rate || busy) {
        return false;
    }
    const TimePoint lastTurn = sendsTo(server.id).lastTurn;
    const TimePoint usedUntil = rejected ? std::max(lastTurn, rejectedAt + rate->since) : lastTurn;
    return turnsOf(server, rate->perSecond).usableTurn(usedUntil, now).has_value();
}

bool BackendRateLimiter::takesTurns(const BackendState &state) const
{
    return m_notices.maxRejections({state.report.id, state.report.startedAt}).has_value()
        && !brittleShare(state).dividesSlots();
}

BrittleServerShare BackendRateLimiter::brittleShare(const BackendState &state) const
{
    const auto total = m_serviceSlots.find(state.report.service);
    const auto before = m_slotsBefore.find(state.report.id);
    return {before == m_slotsBefore.end() ? 0 : before->second, state.report.slots,
            total == m_serviceSlots.end() ? 0 : total->second, m_position};
}

void BackendRateLimiter::setServers(const FleetView &view)
{
    m_serviceSlots.clear();
    m_slotsBefore.clear();
    for (const auto &[id, state] : view.backends()) {
        int &slots = m_serviceSlots[state.report.service];
        m_slotsBefore[id] = slots;
        slots += state.draining ? 0 : BrittleServerShare::usableSlots(state.report.slots);
    }
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
    if (const auto limit = m_notices.rateLimit(server)) {
        if (const auto turn = turnsOf(server, *limit).usableTurn(sends.lastTurn, now)) {
            sends.lastTurn = *turn;
        }
    } else if (m_notices.maxRejections(server)) {
        sends.lastTurn = now;
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
