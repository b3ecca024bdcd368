#include <algorithm>

#include "Forward/Exchange.h"

// Responses in progress of a forwarded request: relays events as they arrive and detects responses
// that stall.

namespace lycheearch {

namespace {

/// A request that is not streamed is retried if no response arrives within this many times its
/// latency objective.
constexpr int PlainStallObjectives = 3;
/// A stream is retried if no first event arrives within this many times its latency objective.
constexpr int FirstEventStallObjectives = 2;
constexpr Duration ShortestStreamStall = 1500ms;
/// A running stream is retried if no event arrives within this many times its gap objective, but
/// not before ShortestStreamStall.
constexpr int StallGapObjectives = 2;

} // namespace

void Exchange::relayEvents(const std::vector<StreamEvent> &events, TimePoint now)
{
    std::string bytes;
    for (const StreamEvent &event : events) {
        if (event.id && m_lastEvent && *event.id <= *m_lastEvent) {
            continue; // Already relayed from an earlier attempt.
        }
        if (event.id) {
            m_lastEvent = event.id;
        }
        bytes.append(event.bytes);
        ++m_events;
        if (m_attempt.relayed++ == 0) {
            m_attempt.firstEventAt = now;
        }
    }
    if (bytes.empty()) {
        return;
    }
    if (!m_streamBegun) {
        m_streamBegun = true;
        m_firstByteAt = now;
        HttpFields fields = m_attempt.head.fields;
        removeConnectionFields(fields);
        fields.remove("Content-Length");
        m_sink.beginStream(m_attempt.head.status, m_attempt.head.reason, std::move(fields));
    } else {
        m_longestGap = std::max(m_longestGap, now - m_lastEventAt);
        m_context.models.onGap(m_model, now - m_lastEventAt, now);
    }
    m_lastEventAt = now;
    m_sink.streamBytes(bytes);
    if (!m_finished) {
        armStall(now);
    }
}

void Exchange::onStreamEnd(TimePoint now)
{
    if (!m_attempt.splitter.atBoundary() || !m_streamBegun) {
        releaseAttempt(SendOutcome::Broken, false, now);
        retryOrFail("the event stream ended early", now);
        return;
    }
    releaseAttempt(SendOutcome::Served, true, now);
    finish(m_attempt.head.status, "served", now);
    m_sink.endStream(now);
}

std::optional<Duration> Exchange::pace(TimePoint now) const
{
    if (!m_attempt.streaming) {
        return now - m_attempt.sentAt;
    }
    if (m_attempt.relayed < 2) {
        return std::nullopt;
    }
    return (m_lastEventAt - m_attempt.firstEventAt) / (m_attempt.relayed - 1);
}

Duration Exchange::stallLimit() const
{
    if (m_route->kind != RouteKind::EventStream) {
        return m_route->latencyObjective * PlainStallObjectives;
    }
    if (!m_streamBegun) {
        return m_route->latencyObjective * FirstEventStallObjectives;
    }
    return std::max(ShortestStreamStall, m_route->gapObjective * StallGapObjectives);
}

void Exchange::armStall(TimePoint now)
{
    m_context.loop.cancel(m_attempt.stallTimer);
    const bool useful = m_route->repeatable() && m_sends < m_route->maxAttempts;
    if (!useful) {
        return;
    }
    m_attempt.stallTimer = m_context.loop.at(now + stallLimit(), [this](TimePoint present) {
        m_attempt.stallTimer = TimerId();
        onStall(present);
    });
}

void Exchange::onStall(TimePoint now)
{
    if (!mayRepeat(now) || !m_context.retries.withdraw(m_service, now)) {
        return;
    }
    m_mayHaveRun = true;
    releaseAttempt(SendOutcome::Broken, false, now);
    dispatch(now);
}

} // namespace lycheearch
