#include "Routing/AdmissionController.h"

#include <algorithm>
#include <cmath>

#include "Base/Hash.h"

namespace lycheearch {

namespace {

using Seconds = std::chrono::duration<double>;

/// A request is expected in time up to this factor on its latency objective.
constexpr double InTimeFactor = 1.1;
/// A route is about to miss its objective if its first event is expected after this part of it.
constexpr double PressurePart = 0.6;
/// A forecast for a route says nothing any more after this time.
constexpr Duration PressureLifetime = 1500ms;
/// Shares are enforced while the pressure of any route of the service exceeds this.
constexpr double SharePressure = 0.2;
/// Added to SharePressure for each less urgent route, whose requests are refused first.
constexpr double SharePressureStep = 0.1;
/// A route keeps this much more of an account's share for each less urgent route.
constexpr double KeptStep = 0.35;
/// Decrease of the room for each increase of the pressure by 1.
constexpr double RoomSlope = 2;
/// The room is taken to be at least this part of what was admitted lately.
constexpr double LeastRoom = 0.5;
/// A route is owed a request if it was served less often than all, by this factor.
constexpr double OwedRatio = 0.4;
/// The same for a request that can't be in time, so that late work takes no room from the others.
constexpr double LateOwedRatio = 0.27;
constexpr double LeastOffered = 1; ///< Requests, before a ratio says anything.
constexpr Duration RouteTimeConstant = 4s;
/// First events that a forecast is corrected by count for this long, and by these factors.
constexpr Duration SlownessTimeConstant = 3s;
constexpr double SlownessWeight = 0.3; ///< Of the forecast itself, in seconds.
constexpr double MostSlowness = 8;
/// Callers honour a Retry-After up to this part of the time that they have left.
constexpr int HonouredDivisor = 3;
constexpr Duration ShortestRetryAfter = 50ms;
constexpr Duration LongestRetryAfter = ReturnSchedule::LongestDelay;
/// Callers that come back this much before their time are taken to be on time.
constexpr Duration ReturnTolerance = 20ms;
constexpr std::size_t MaxReturns = 4096;
constexpr std::size_t MaxTurns = 4096;
/// Slowest rate at which the refused are called back, in requests per second.
constexpr double LeastReturnRate = 1;

double secondsOf(Duration duration)
{
    return Seconds(duration).count();
}

Duration part(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

std::uint64_t returnKey(const AdmissionRequest &request)
{
    return mixBits(request.content ^ mixBits(request.account ^ stableHash(request.route)));
}

double decayed(double value, Duration age)
{
    return value * std::exp(-secondsOf(age) / secondsOf(RouteTimeConstant));
}

} // namespace

AdmissionController::RouteUse::RouteUse()
    : slowness(1, SlownessWeight, SlownessTimeConstant)
{
}

AdmissionController::AdmissionController(const InstanceId &self, double longestWaitPart)
    : m_seed(stableHash(self.value()))
    , m_longestWaitPart(longestWaitPart)
{
}

AdmissionDecision AdmissionController::decide(const AdmissionRequest &request,
                                              const ServiceForecast &forecast,
                                              AdmissionQueue::Ticket ticket, TimePoint now)
{
    AdmissionDecision decision;
    decision.ticket = ticket;
    const Duration elapsed = now - request.receivedAt;
    RouteUse &route = seen(request, forecast, now);
    const Duration first = corrected(route, forecast.firstEvent(), now);
    decision.expected = forecast.firstEvent();
    if (forecast.occupancy.hasFreePlaces()) {
        return admit(request, decision, "free places", ticket, now);
    }
    if (ticket == 0 && isEarlyReturn(request, now)) {
        decision.verdict = AdmissionDecision::Verdict::Refuse;
        decision.reason = "came back early";
        decision.retryAfter = findReturn(request, now)->at - now;
        return decision;
    }
    route.offered += ticket == 0 ? 1 : 0;
    if (now + first >= request.deadline) {
        return refuse(request, decision, "no place before the deadline", ticket, now);
    }
    if (ticket == 0 && !withinShare(request, decision.keptPart, now)) {
        return refuse(request, decision, "above the account's share", ticket, now);
    }
    const bool inTime = elapsed + first <= part(request.latencyObjective, InTimeFactor);
    if (isOwed(request, inTime ? OwedRatio : LateOwedRatio, now)) {
        return admit(request, decision, "owed", ticket, now);
    }
    if (!inTime) {
        return refuse(request, decision, "no place in time", ticket, now);
    }
    if (mustYield(request, now)) {
        return waitOrRefuse(request, decision, "a more urgent route is late", ticket, now);
    }
    if (forecast.rejecting) {
        return waitOrRefuse(request, decision, "the servers are full", ticket, now);
    }
    if (m_queue.precedes(queued(request, now), ticket)) {
        return waitOrRefuse(request, decision, "others wait before it", ticket, now);
    }
    return admit(request, decision, "in time", ticket, now);
}

AdmissionController::RouteUse &AdmissionController::seen(const AdmissionRequest &request,
                                                         const ServiceForecast &forecast,
                                                         TimePoint now)
{
    RouteUse &route = m_routes[request.service][request.route];
    const Duration age = now - route.countedAt;
    route.offered = route.countedAt == TimePoint() ? 0 : decayed(route.offered, age);
    route.admitted = route.countedAt == TimePoint() ? 0 : decayed(route.admitted, age);
    route.countedAt = now;
    route.priority = request.priority;
    route.seenAt = now;
    route.pressure = secondsOf(corrected(route, forecast.firstEvent(), now))
        / std::max(secondsOf(request.latencyObjective), secondsOf(ShortestRetryAfter));
    return route;
}

Duration AdmissionController::corrected(const RouteUse &route, Duration forecast, TimePoint now)
{
    return part(forecast, std::clamp(route.slowness.value(now), 1.0, MostSlowness));
}

void AdmissionController::onFirstEvent(const ServiceId &service, const std::string &route,
                                       Duration expected, Duration took, TimePoint now)
{
    m_routes[service][route].slowness.add(secondsOf(took), secondsOf(expected), now);
}

bool AdmissionController::mustYield(const AdmissionRequest &request, TimePoint now) const
{
    const Routes &routes = m_routes.at(request.service);
    return std::any_of(routes.begin(), routes.end(), [&](const auto &entry) {
        const RouteUse &route = entry.second;
        return route.priority < request.priority && now - route.seenAt < PressureLifetime
            && route.pressure > PressurePart;
    });
}

bool AdmissionController::isOwed(const AdmissionRequest &request, double ratio, TimePoint now) const
{
    const Routes &routes = m_routes.at(request.service);
    double offered = 0;
    double admitted = 0;
    for (const auto &[name, route] : routes) {
        offered += decayed(route.offered, now - route.countedAt);
        admitted += decayed(route.admitted, now - route.countedAt);
    }
    const RouteUse &own = routes.at(request.route);
    return own.offered >= LeastOffered && own.admitted * offered < ratio * admitted * own.offered;
}

bool AdmissionController::withinShare(const AdmissionRequest &request, double &kept, TimePoint now)
{
    double pressure = 0;
    int lessUrgent = 0;
    for (const auto &[name, route] : m_routes.at(request.service)) {
        if (now - route.seenAt < PressureLifetime) {
            pressure = std::max(pressure, route.pressure);
            lessUrgent += route.priority > request.priority ? 1 : 0;
        }
    }
    const double excess = pressure - SharePressure - SharePressureStep * lessUrgent;
    if (excess < 0) {
        return true;
    }
    const UseKey key{request.service, request.account};
    kept = m_shares.keptPart(key, std::max(LeastRoom, 1 - RoomSlope * excess), now);
    kept = std::min(1.0, kept * (1 + KeptStep * lessUrgent));
    if (kept >= 1) {
        return true;
    }
    if (m_turns.size() >= MaxTurns) {
        m_turns.clear();
    }
    // Daemons begin at different places, so that they don't all keep the same request.
    constexpr std::uint64_t steps = 1024;
    const double begin = static_cast<double>(mixBits(m_seed ^ request.account) % steps) / steps;
    double &turn = m_turns.try_emplace(key, begin).first->second;
    turn += kept;
    if (turn < 1) {
        return false;
    }
    turn -= 1;
    return true;
}

AdmissionDecision AdmissionController::admit(const AdmissionRequest &request,
                                             AdmissionDecision decision, const char *reason,
                                             AdmissionQueue::Ticket ticket, TimePoint now)
{
    m_queue.remove(ticket);
    m_shares.onAdmitted({request.service, request.account}, request.work, now);
    RouteUse &route = m_routes[request.service][request.route];
    const bool counted = ticket != 0 || std::string_view(reason) != "free places";
    route.admitted += 1;
    route.offered += counted ? 0 : 1;
    decision.verdict = AdmissionDecision::Verdict::Admit;
    decision.reason = reason;
    return decision;
}

AdmissionDecision AdmissionController::refuse(const AdmissionRequest &request,
                                              AdmissionDecision decision, const char *reason,
                                              AdmissionQueue::Ticket ticket, TimePoint now)
{
    decision.verdict = AdmissionDecision::Verdict::Refuse;
    decision.reason = reason;
    decision.retryAfter = refuseWaiting(request, ticket, now);
    return decision;
}

Duration AdmissionController::refuseWaiting(const AdmissionRequest &request,
                                            AdmissionQueue::Ticket ticket, TimePoint now)
{
    m_queue.remove(ticket);
    m_shares.onRefused({request.service, request.account}, request.work, now);
    const Duration delay = retryAfter(request, now);
    rememberReturn(request, now + delay, now);
    return delay;
}

AdmissionDecision AdmissionController::waitOrRefuse(const AdmissionRequest &request,
                                                    AdmissionDecision decision, const char *reason,
                                                    AdmissionQueue::Ticket ticket, TimePoint now)
{
    const QueuedRequest entry = queued(request, now);
    if (entry.until <= now) {
        return refuse(request, decision, reason, ticket, now);
    }
    if (ticket == 0) {
        const auto added = m_queue.add(entry, decision.evicted);
        if (!added) {
            return refuse(request, decision, "the queue is full", ticket, now);
        }
        decision.ticket = *added;
    }
    decision.verdict = AdmissionDecision::Verdict::Wait;
    decision.reason = reason;
    return decision;
}

QueuedRequest AdmissionController::queued(const AdmissionRequest &request, TimePoint now) const
{
    const Return *earlier = findReturn(request, now);
    return {request.service,
            request.priority,
            m_shares.served({request.service, request.account}, now),
            earlier == nullptr ? request.receivedAt : earlier->refusedAt,
            std::min(request.receivedAt + part(request.latencyObjective, m_longestWaitPart),
                     request.deadline),
            request.bytes};
}

Duration AdmissionController::retryAfter(const AdmissionRequest &request, TimePoint now)
{
    double admitted = 0;
    for (const auto &[name, route] : m_routes[request.service]) {
        admitted += decayed(route.admitted, now - route.countedAt);
    }
    const double rate = std::max(LeastReturnRate, admitted / secondsOf(RouteTimeConstant));
    const Duration place = m_returnSchedule.next(request.service, rate, now);
    const Duration honoured = (request.deadline - now) / HonouredDivisor;
    return std::clamp(std::min(place, honoured), ShortestRetryAfter, LongestRetryAfter);
}

const AdmissionController::Return *AdmissionController::findReturn(const AdmissionRequest &request,
                                                                   TimePoint now) const
{
    const auto found = request.content == 0 ? m_returns.end() : m_returns.find(returnKey(request));
    const bool known = found != m_returns.end() && now < found->second.at + LongestRetryAfter;
    return known ? &found->second : nullptr;
}

bool AdmissionController::isEarlyReturn(const AdmissionRequest &request, TimePoint now) const
{
    const Return *entry = findReturn(request, now);
    return entry != nullptr && now + ReturnTolerance < entry->at;
}

void AdmissionController::rememberReturn(const AdmissionRequest &request, TimePoint at,
                                         TimePoint now)
{
    if (request.content == 0) {
        return;
    }
    const std::uint64_t key = returnKey(request);
    const Return *earlier = findReturn(request, now);
    const TimePoint refusedAt = earlier == nullptr ? now : earlier->refusedAt;
    const bool added = m_returns.insert_or_assign(key, Return{refusedAt, at}).second;
    if (added) {
        m_returnOrder.push_back(key);
    }
    if (m_returnOrder.size() > MaxReturns) {
        m_returns.erase(m_returnOrder.front());
        m_returnOrder.pop_front();
    }
}

} // namespace lycheearch
