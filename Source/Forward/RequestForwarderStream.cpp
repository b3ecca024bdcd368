#include <algorithm>

#include "Forward/RequestForwarder.h"
#include "Forward/SpeedObservations.h"

// The part of RequestForwarder that handles event streams and stalled responses.

namespace lycheearch {

namespace {

/// A request for a response that is not an event stream is retried if the response is not complete
/// within this multiple of its latency objective.
constexpr int PlainStallFactor = 3;
/// A stream is retried if its first event does not arrive within this multiple of its latency
/// objective.
constexpr int FirstEventStallFactor = 2;
constexpr Duration MinStreamStall = 1500ms;
/// A stream that has begun is retried if no event arrives within this multiple of its gap
/// objective, but not before MinStreamStall.
constexpr int StreamStallFactor = 2;

} // namespace

void RequestForwarder::relayEvents(const std::vector<StreamEvent> &events, TimePoint now)
{
    std::string bytes;
    const bool begun = m_stream.begun();
    const int relayedBefore = m_attempt.relayedEvents;
    bool misplaced = false;
    for (const StreamEvent &event : events) {
        const StreamContinuity::EventUse use = m_stream.use(event);
        misplaced = use == StreamContinuity::EventUse::Misplaced;
        if (misplaced) {
            break;
        }
        if (use == StreamContinuity::EventUse::Skip) {
            continue;
        }
        bytes.append(event.bytes);
        ++m_eventCount;
        if (m_attempt.relayedEvents++ == 0) {
            m_attempt.firstEventAt = now;
        }
    }
    if (!bytes.empty()) {
        relayBytes(bytes, begun, m_attempt.relayedEvents - relayedBefore, now);
    }
    if (misplaced && !m_finished) {
        endAttempt(SendOutcome::Broken, false, now);
        retryOrFail("an event does not follow the events before it", now);
    }
}

void RequestForwarder::relayBytes(const std::string &bytes, bool begun, int eventCount,
                                  TimePoint now)
{
    if (!m_attempt.relayed) {
        m_context.rolloutCounts.onEvents(m_attempt.ticket, eventCount, now);
    }
    if (!begun) {
        recordAnswered(now);
        m_firstByteAt = now;
        HttpFields fields = m_context.headerCodec.callerFields(m_attempt.head);
        addRelayResult(m_attempt.backend, fields);
        m_writer.beginStream(m_attempt.head.status, m_attempt.head.reason, std::move(fields));
    } else {
        m_longestGap = std::max(m_longestGap, now - m_lastEventAt);
        if (!m_attempt.relayed) {
            if (!m_attempt.pause.distortsTimes()) {
                m_context.models.onGap(m_model, now - m_lastEventAt, now);
            }
            // The first gap of a resumed stream is not the server's.
            if (m_attempt.relayedEvents > eventCount && !m_attempt.pause.distortsTimes()) {
                recordGap(m_context, m_attempt.backend, speedKind(), now - m_lastEventAt, now);
            }
        }
    }
    m_lastEventAt = now;
    m_writer.writeStream(bytes);
    if (!m_finished) {
        followCaller(now);
    }
}

void RequestForwarder::handleStreamEnd(TimePoint now)
{
    const bool endMarked = !m_attempt.head.isCloseDelimited();
    if (!endMarked && !m_attempt.splitter.atBoundary() && m_attempt.pause.explainsLoss()) {
        onUnreadCutOff(now);
        return;
    }
    if (!m_attempt.splitter.atBoundary() || !m_stream.completes(endMarked)) {
        if (!m_attempt.relayed) {
            recordConnectionLost(now);
        }
        endAttempt(SendOutcome::Broken, false, now);
        retryOrFail("the event stream ended early", now);
        return;
    }
    if (!m_attempt.relayed) {
        recordServed(now);
    }
    endAttempt(SendOutcome::Served, true, now);
    finish(m_attempt.head.status, "served", now);
    m_writer.endStream(now);
}

std::optional<Duration> RequestForwarder::latencySample(TimePoint now) const
{
    if (!m_attempt.streaming) {
        return now - m_attempt.sentAt;
    }
    if (m_attempt.relayedEvents < 2 || m_attempt.pause.distortsTimes()) {
        return std::nullopt;
    }
    return (m_lastEventAt - m_attempt.firstEventAt) / (m_attempt.relayedEvents - 1);
}

Duration RequestForwarder::stallLimit() const
{
    if (m_route->kind != RouteKind::EventStream) {
        return m_route->latencyObjective * PlainStallFactor;
    }
    if (!m_stream.begun()) {
        return m_route->latencyObjective * FirstEventStallFactor;
    }
    return std::max(MinStreamStall, m_route->gapObjective * StreamStallFactor);
}

void RequestForwarder::startStallTimer(TimePoint now)
{
    m_context.loop.cancel(m_attempt.stallTimer);
    const bool useful = m_route->retryable() && m_attemptCount < maxAttempts();
    if (!useful) {
        return;
    }
    const Duration limit = m_attempt.relayed ? relayStallLimit() : stallLimit();
    m_attempt.stallTimer = m_context.loop.at(now + limit, [this](TimePoint currentTime) {
        m_attempt.stallTimer = TimerId();
        onStall(currentTime);
    });
}

void RequestForwarder::onStall(TimePoint now)
{
    const int attempts = m_attempt.relayed ? attemptsIfPeerIsLost() : m_attemptCount;
    const bool may = mayRetryAfter(attempts, now);
    const bool retries = may && m_context.retryBudget.tryWithdraw(m_service, now);
    logRetryDecision("no answer for too long", may, retries, now);
    if (!retries) {
        return;
    }
    endAttempt(SendOutcome::Broken, false, now);
    dispatch(now);
}

} // namespace lycheearch
