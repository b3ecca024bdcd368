#include "Forward/RequestForwarder.h"

// The part of RequestForwarder that follows how the caller reads a stream: reading from the server
// rests meanwhile, and what the server then does is not held against it.

namespace lycheearch {

void RequestForwarder::followCaller(TimePoint now)
{
    if (!m_writer.callerBlocked()) {
        startStallTimer(now);
        return;
    }
    if (!m_attempt.pause.resting()) {
        m_context.metrics.count("lycheearch_response_pauses_total");
    }
    m_attempt.pause.begin(now);
    m_context.loop.cancel(m_attempt.stallTimer);
    m_attempt.connection->setReading(false);
}

void RequestForwarder::onCallerReads(TimePoint now)
{
    if (m_finished || !m_attempt.pause.resting()) {
        return;
    }
    m_attempt.pause.end(now);
    m_lastEventAt = now;
    if (m_inAttempt) {
        m_attempt.connection->setReading(true);
        startStallTimer(now);
    } else {
        retryOrFail("the backend server cut off the unread response", now);
    }
}

void RequestForwarder::onUnreadCutOff(TimePoint now)
{
    m_context.metrics.count("lycheearch_unread_responses_cut_off_total");
    m_context.log.write(LogPriority::Notable,
                        LogLine("answer.unread_cut_off")
                            .add("id", m_request.id.value())
                            .add("backend", m_attempt.backend.value())
                            .add("unread_ms", m_attempt.pause.longest(now))
                            .add("events", m_attempt.relayedEvents)
                            .add("after_ms", now - m_attempt.sentAt),
                        now);
    endAttempt(SendOutcome::Cancelled, false, now);
    m_triedBackends.erase(m_attempt.backend);
    m_triedPeers.erase(m_attempt.backend);
    if (!m_attempt.pause.resting() || !mayRetry(now)) {
        retryOrFail("the backend server cut off the unread response", now);
    }
    // Otherwise another run goes on once the caller reads.
}

} // namespace lycheearch
