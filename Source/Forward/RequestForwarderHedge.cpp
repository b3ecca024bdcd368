#include <algorithm>

#include "Forward/RequestForwarder.h"

// The part of RequestForwarder that sends late requests to a second server.

namespace lycheearch {

namespace {

/// A late request that stayed where it is is decided on again when its wait has grown by this
/// factor.
constexpr double RecheckFactor = 1.5;
/// Shortest time until then.
constexpr Duration MinRecheckPeriod = 10ms;

} // namespace

LatencyKind RequestForwarder::latencyKind() const
{
    return {m_route->name, m_service, m_model, m_attempt.prefillTokens};
}

void RequestForwarder::watchLateness(TimePoint now)
{
    const bool ownRequest = !m_request.relayed && m_route->retryable();
    if (!ownRequest || m_stream.begun() || m_route->latencyObjective <= Duration::zero()
        || !m_context.hedging.enabled(m_service)) {
        return;
    }
    LatencyTracker &latencies = m_context.hedging.latencies();
    const LatencyKind kind = latencyKind();
    m_attempt.usual = latencies.usual(kind, UsualShare, now);
    const Duration after =
        moveAfter(m_attempt.usual, {m_route->latencyObjective, now - m_receivedAt});
    m_attempt.latency = latencies.onSent(kind, after, now);
    if (m_attemptCount < maxAttempts()) {
        startLateTimer(now + after);
    }
}

void RequestForwarder::startLateTimer(TimePoint at)
{
    m_attempt.lateTimer = m_context.loop.at(at, [this](TimePoint currentTime) {
        m_attempt.lateTimer = TimerId();
        onLate(currentTime);
    });
}

void RequestForwarder::recordAnswered(TimePoint now)
{
    if (m_attempt.latency != 0) {
        m_context.hedging.latencies().onAnswered(m_attempt.latency, now);
        m_context.hedging.unansweredMoves().onAnswered(m_attempt.backend);
        m_attempt.latency = 0;
    }
    m_context.loop.cancel(m_attempt.lateTimer);
    m_attempt.lateTimer = TimerId();
}

void RequestForwarder::endLatenessWatch(SendOutcome outcome, TimePoint now)
{
    m_context.loop.cancel(m_attempt.lateTimer);
    m_attempt.lateTimer = TimerId();
    const bool moved = outcome == SendOutcome::Moved || outcome == SendOutcome::Hung;
    if (m_attempt.headReceived && !moved) {
        m_context.hedging.unansweredMoves().onAnswered(m_attempt.backend);
    }
    if (outcome == SendOutcome::Served) {
        recordAnswered(now);
    } else if (moved || outcome == SendOutcome::Broken) {
        m_context.hedging.latencies().onAbandoned(m_attempt.latency, now);
    } else {
        m_context.hedging.latencies().onCancelled(m_attempt.latency);
    }
    m_attempt.latency = 0;
}

HedgeInput RequestForwarder::hedgeInput(TimePoint now) const
{
    HedgeInput input;
    input.timeLeft = m_deadline - now;
    input.usual = m_attempt.usual ? m_attempt.usual->latency : m_route->latencyObjective;
    input.lateShare = m_context.hedging.latencies().lateShare(m_service, now);
    input.serversEnded =
        static_cast<int>(m_context.pendingCrashes.serversEndedUnder(m_accountHash, m_identity));
    return input;
}

std::optional<HedgeTarget> RequestForwarder::hedgeTarget(TimePoint now)
{
    PickRequest requirements = pickRequest(now);
    const ServiceOccupancy occupancy =
        m_context.picker.occupancy(requirements, m_context.view, now);
    requirements.disallowedBackends.insert(m_attempt.backend);
    PickFault fault = PickFault::None;
    const auto pick = m_context.picker.pick(requirements, m_context.view, now, fault);
    if (!pick) {
        return std::nullopt;
    }
    const BackendState *state = m_context.view.backend(pick->backend);
    const ServerNotices &notices = m_context.picker.rateLimiter().notices();
    const ServerRun server{pick->backend, state->report.startedAt};
    HedgeTarget target;
    target.load = pick->load + 1.0 / std::max(1, state->report.slots);
    target.serviceLoad = occupancy.places > 0 ? occupancy.ratio() : 1; // No places: full.
    target.cold = state->coldUntil > now;
    target.namedLimit = notices.rateLimit(server).has_value();
    target.brittle = notices.maxRejections(server).has_value();
    return target;
}

HedgeRefusal RequestForwarder::refusesHedge(TimePoint now)
{
    const bool arriving = m_attempt.headReceived && !m_attempt.streaming;
    if (!mayRetry(now) || arriving || m_attempt.discarded
        || m_context.picker.reach().cutOff(m_service)) {
        return HedgeRefusal::NotRepeatable;
    }
    if (!m_context.hedging.allows(m_service, now)) {
        return HedgeRefusal::Limit;
    }
    HedgeInput input = hedgeInput(now);
    // Looking for another server costs a pass over all, so it comes last.
    if (const HedgeRefusal early = hedgeRefusal(input); early != HedgeRefusal::NoServer) {
        return early;
    }
    input.target = hedgeTarget(now);
    const HedgeRefusal refusal = hedgeRefusal(input);
    if (refusal != HedgeRefusal::None) {
        return refusal;
    }
    return m_context.hedging.tryWithdraw(m_service, now) ? HedgeRefusal::None : HedgeRefusal::Limit;
}

void RequestForwarder::onLate(TimePoint now)
{
    const HedgeRefusal refusal = refusesHedge(now);
    if (refusal != HedgeRefusal::None) {
        m_context.metrics.count("lycheearch_hedges_refused_total",
                                std::string("reason=\"") + refusalName(refusal) + "\"");
        const Duration waited = now - m_attempt.sentAt;
        const TimePoint again = std::max(
            m_attempt.sentAt + std::chrono::duration_cast<Duration>(waited * RecheckFactor),
            now + MinRecheckPeriod);
        if (again < m_deadline && refusal != HedgeRefusal::NotRepeatable) {
            startLateTimer(again);
        }
        return;
    }
    logMove("hedge.moved", now);
    m_context.metrics.count("lycheearch_hedge_moves_total");
    const bool hung =
        m_context.hedging.unansweredMoves().onMoved(m_attempt.backend, m_attempt.sentAt, now);
    endAttempt(hung ? SendOutcome::Hung : SendOutcome::Moved, false, now);
    dispatch(now);
}

void RequestForwarder::logMove(const char *event, TimePoint now)
{
    const auto &usual = m_attempt.usual;
    m_context.log.write(
        LogPriority::Notable,
        LogLine(event)
            .add("id", m_request.id.value())
            .add("route", m_route->name)
            .add("backend", m_attempt.backend.value())
            .add("waited_ms", now - m_attempt.sentAt)
            .add("threshold_ms",
                 moveAfter(usual, {m_route->latencyObjective, m_attempt.sentAt - m_receivedAt}))
            .add("usual_ms", usual ? usual->latency : Duration(-1000))
            .add("quantile", UsualShare)
            .add("samples", usual ? static_cast<std::int64_t>(usual->samples) : 0)
            .add("learned_from", usual ? usual->source : "none")
            .add("late_share", m_context.hedging.latencies().lateShare(m_service, now))
            .add("budget_left", m_context.hedging.left(m_service, now))
            .add("work", static_cast<std::int64_t>(m_attempt.prefillTokens))
            .add("left_ms", m_deadline - now),
        now);
}

} // namespace lycheearch
