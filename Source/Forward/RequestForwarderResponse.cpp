#include <utility>

#include "Base/Hash.h"
#include "Forward/RequestForwarder.h"
#include "Forward/SendOutcomes.h"
#include "Forward/SpeedObservations.h"
#include "Net/HttpStatus.h"

// The part of RequestForwarder that receives responses: their heads and bodies, what a server
// announces about itself, and lost connections.

namespace lycheearch {

namespace {

/// Whether callers take the status to mean that the request was not executed.
bool impliesNotExecuted(int status)
{
    return status == HttpStatus::RequestTimeout || status == HttpStatus::Misdirected
        || status == HttpStatus::TooManyRequests || status == HttpStatus::Unavailable;
}

} // namespace

void RequestForwarder::onConnected(TimePoint now)
{
    // The request is sent only now.
    if (m_attempt.stallTimer.active()) {
        startStallTimer(now);
    }
    if (m_attempt.lateTimer.active()) {
        const TimePoint due = m_attempt.lateTimer.due + (now - m_attempt.sentAt);
        m_context.loop.cancel(m_attempt.lateTimer);
        startLateTimer(due);
    }
    if (!m_attempt.relayed) {
        recordReached();
    }
}

void RequestForwarder::recordReached()
{
    m_context.picker.onReached(m_attempt.backend, m_attempt.sentAt);
}

BackendResponseListener::Verdict RequestForwarder::onResponseStarted(const HttpResponseHead &head,
                                                                     TimePoint now)
{
    ResponseMetadata metadata = m_context.headerCodec.decodeResponse(head);
    if (!isOwnResponse(metadata)) {
        m_context.log.write(LogPriority::Notable,
                            LogLine("answer.foreign")
                                .add("id", m_request.id.value())
                                .add("backend", m_attempt.backend.value())
                                .add("answer_id", metadata.requestId)
                                .add("status", head.status)
                                .add("fresh", m_attempt.newConnection ? "yes" : "no"),
                            now);
        return Verdict::Skip;
    }
    m_attempt.streaming = isStream(head, metadata);
    if (m_attempt.relayed) {
        m_attempt.head = head;
        m_attempt.metadata = std::move(metadata);
        onPeerResponseStarted(now);
        return Verdict::Accept;
    }
    recordReached();
    applyNotices(m_attempt.backend, metadata, now);
    const bool canEndLimits = head.status < HttpStatus::FirstRedirect && metadata.hasSeal;
    applyRateLimit(metadata, canEndLimits, now);
    applyBrittle(metadata, canEndLimits, now);
    recordReportedLoad(m_context, m_request.id, m_attempt.backend, metadata, now);
    m_context.picker.onFirstByte(m_attempt.backend, urgency(), unansweredTokens(), now);
    if (m_expectedFirst > Duration::zero()) {
        m_context.admission->onFirstEvent(m_service, m_route->name,
                                          std::exchange(m_expectedFirst, Duration::zero()),
                                          now - m_attempt.sentAt, now);
    }
    m_attempt.headReceived = true;
    m_attempt.headAt = now;
    if (head.status < HttpStatus::FirstRedirect) {
        m_context.rolloutCounts.onAnswerBegun(m_attempt.ticket, now);
        const double work = m_runsModels ? m_attempt.workTokens / m_attempt.slowness : 1;
        recordAnswerBegun(
            m_context, {m_request.id, m_attempt.backend, speedKind(), work, now - m_attempt.sentAt},
            now);
    }
    m_attempt.head = head;
    m_attempt.metadata = std::move(metadata);
    if (m_attempt.streaming && !m_stream.begun()) {
        m_context.models.onFirstEvent(m_model, m_attempt.workTokens, now - m_attempt.sentAt, now);
        m_attempt.discarded = escalate(now);
    }
    return Verdict::Accept;
}

bool RequestForwarder::isStream(const HttpResponseHead &head, const ResponseMetadata &metadata)
{
    const bool stream = m_route->kind == RouteKind::EventStream && head.status == HttpStatus::Ok
        && metadata.hasSeal && head.fields.find("Content-Encoding") == nullptr;
    return stream && m_stream.beginAttempt(head);
}

bool RequestForwarder::isOwnResponse(const ResponseMetadata &metadata) const
{
    if (!metadata.requestId.empty()) {
        return metadata.requestId == m_request.id.value();
    }
    // Without an id, a response on a used connection may be a repetition of an earlier one. A
    // response of another daemon itself has no id; its connections carry no such repetitions.
    return m_attempt.newConnection || m_attempt.relayed;
}

void RequestForwarder::onInterimResponse(const HttpResponseHead &head, TimePoint now)
{
    const ResponseMetadata metadata = m_context.headerCodec.decodeResponse(head);
    const bool own = metadata.requestId.empty() || metadata.requestId == m_request.id.value();
    if (own && !m_attempt.relayed) {
        applyNotices(m_attempt.backend, metadata, now);
        applyRateLimit(metadata, false, now);
        applyBrittle(metadata, false, now);
    }
}

void RequestForwarder::applyRateLimit(const ResponseMetadata &metadata, bool canEndLimit,
                                      TimePoint now)
{
    if (!metadata.unreadableRateLimit.empty()) {
        m_context.log.write(LogPriority::Notable,
                            LogLine("backend.rate_limit_unreadable")
                                .add("id", m_request.id.value())
                                .add("backend", m_attempt.backend.value())
                                .add("text", metadata.unreadableRateLimit),
                            now);
        return;
    }
    if (!metadata.rateLimit && !canEndLimit) {
        return;
    }
    if (m_context.picker.onRateLimit(m_attempt.backend, metadata.rateLimit, now)) {
        m_context.log.write(
            LogPriority::Notable,
            LogLine("backend.rate_limit")
                .add("id", m_request.id.value())
                .add("backend", m_attempt.backend.value())
                .add("per_second",
                     metadata.rateLimit ? std::to_string(*metadata.rateLimit) : "none"),
            now);
    }
}

void RequestForwarder::applyBrittle(const ResponseMetadata &metadata, bool canEnd, TimePoint now)
{
    if (!metadata.unreadableMaxRejections.empty()) {
        m_context.log.write(LogPriority::Notable,
                            LogLine("backend.brittle_unreadable")
                                .add("id", m_request.id.value())
                                .add("backend", m_attempt.backend.value())
                                .add("text", metadata.unreadableMaxRejections),
                            now);
        return;
    }
    if (!metadata.maxRejections && !canEnd) {
        return;
    }
    if (m_context.picker.onBrittle(m_attempt.backend, metadata.maxRejections, now)) {
        m_context.log.write(
            LogPriority::Notable,
            LogLine("backend.brittle")
                .add("id", m_request.id.value())
                .add("backend", m_attempt.backend.value())
                .add("max_rejections",
                     metadata.maxRejections ? std::to_string(*metadata.maxRejections) : "none"),
            now);
    }
}

void RequestForwarder::applyNotices(const InstanceId &backend, const ResponseMetadata &metadata,
                                    TimePoint now)
{
    if (metadata.leaving && m_context.picker.onLeaving(backend, now)) {
        m_context.log.write(LogPriority::Notable,
                            LogLine("backend.leaving")
                                .add("id", m_request.id.value())
                                .add("backend", backend.value()),
                            now);
    }
    if (metadata.retryAfter) {
        m_context.picker.onPauseRequested(backend, *metadata.retryAfter, now);
        const bool cut = *metadata.retryAfter > ServerNotices::LongestPause;
        m_context.log.write(LogPriority::Notable,
                            LogLine("backend.pause")
                                .add("id", m_request.id.value())
                                .add("backend", backend.value())
                                .add("pause_ms", *metadata.retryAfter)
                                .add("cut", cut ? "yes" : "no"),
                            now);
    }
}

void RequestForwarder::onResponseData(std::string_view bytes, TimePoint now)
{
    if (!m_attempt.relayed) {
        m_context.hedging.unansweredMoves().onAnswered(m_attempt.backend);
    }
    if (m_attempt.discarded) {
        return;
    }
    if (!m_attempt.streaming) {
        collectBody(bytes, now);
        return;
    }
    std::vector<StreamEvent> events;
    if (!m_attempt.splitter.feed(bytes, events)) {
        endAttempt(SendOutcome::Broken, false, now);
        retryOrFail("an event exceeds the size limit", now);
        return;
    }
    relayEvents(events, now);
}

void RequestForwarder::collectBody(std::string_view bytes, TimePoint now)
{
    if (!m_context.readers.reserve(bytes.size(), now)) {
        endAttempt(SendOutcome::Broken, false, now);
        retryOrFail("memory limit for response bodies reached", now);
        return;
    }
    m_attempt.reservedBytes += bytes.size();
    m_attempt.body.append(bytes);
}

void RequestForwarder::onResponseComplete(TimePoint now)
{
    if (m_attempt.discarded) {
        endAttempt(SendOutcome::Served, true, now);
        m_triedBackends.clear();
        dispatch(now);
        return;
    }
    if (m_attempt.streaming) {
        handleStreamEnd(now);
    } else {
        handlePlainResponse(now);
    }
}

void RequestForwarder::handlePlainResponse(TimePoint now)
{
    if (m_attempt.relayed) {
        handlePeerResponse(now);
        return;
    }
    const int status = m_attempt.head.status;
    // A success that is marked as not executed contradicts itself and proves nothing.
    if (m_attempt.metadata.notExecuted && status >= HttpStatus::FirstRedirect) {
        m_execution.onProvenNotExecuted();
        endAttempt(status == HttpStatus::Misdirected ? SendOutcome::Misdirected
                                                     : SendOutcome::Overloaded,
                   true, now);
        retryOrFail(status == HttpStatus::Misdirected ? "another instance has the address"
                                                      : "the backend server refused the request",
                    now);
        return;
    }
    if (m_stream.begun() && status < HttpStatus::FirstServerError) {
        endAttempt(SendOutcome::Broken, true, now);
        retryOrFail("the response does not go on with the stream", now);
        return;
    }
    if (status < HttpStatus::FirstRedirect) {
        const bool complete =
            m_attempt.metadata.hasSeal && m_attempt.head.fields.find("Content-Encoding") == nullptr;
        endAttempt(complete ? SendOutcome::Served : SendOutcome::Broken, complete, now);
        if (complete) {
            recordServed(now);
            sendBackendResponse(now);
        } else {
            retryOrFail("the response has no seal or has a content encoding", now);
        }
        return;
    }
    endAttempt(status >= HttpStatus::FirstServerError ? SendOutcome::ServerFailed
                                                      : SendOutcome::Served,
               true, now);
    keepErrorResponse();
    if (status >= HttpStatus::FirstServerError || impliesNotExecuted(status)) {
        retryOrFail("error response of the backend server", now);
    } else {
        sendBackendResponse(now);
    }
}

void RequestForwarder::keepErrorResponse()
{
    if (!impliesNotExecuted(m_attempt.head.status)) {
        m_errorHead = m_attempt.head;
        m_errorBody = m_attempt.body;
    }
}

void RequestForwarder::onConnectionLost(Delivery delivery, std::error_code error, TimePoint now)
{
    if (m_attempt.pause.explainsLoss()) {
        onUnreadCutOff(now);
        return;
    }
    if (m_attempt.relayed) {
        onPeerLost(delivery, error, now);
        return;
    }
    m_context.log.write(LogPriority::Notable,
                        LogLine("link.lost")
                            .add("id", m_request.id.value())
                            .add("backend", m_attempt.backend.value())
                            .add("sent", delivery == Delivery::NotSent ? "no" : "maybe")
                            .add("fresh", m_attempt.newConnection ? "yes" : "no")
                            .add("account", m_account.value())
                            .add("content", hashText(m_identity.content))
                            .add("body", hashText(stableHash(*m_body)))
                            .add("error", error.message())
                            .add("after_ms", now - m_attempt.sentAt),
                        now);
    const bool silent = error == std::errc::timed_out;
    if (delivery == Delivery::NotSent) {
        --m_attemptCount;
        m_execution.onProvenNotExecuted();
        m_unreachableBackends.insert(m_attempt.backend);
        endAttempt(silent ? SendOutcome::Silent : SendOutcome::Unreachable, false, now);
        if (++m_connectFailures >= maxConnectFailures() && !mayRelay(now)) {
            decline("no connection to a backend server", now);
        } else {
            dispatch(now);
        }
        return;
    }
    if (!silent) {
        recordConnectionLost(now);
    }
    // A healthy server may have closed a reused idle connection.
    const bool reset = !m_attempt.headReceived && m_attempt.newConnection;
    endAttempt(silent      ? SendOutcome::Silent
                   : reset ? SendOutcome::Reset
                           : SendOutcome::Broken,
               false, now);
    retryOrFail("connection to the backend server lost", now);
}

void RequestForwarder::sendBackendResponse(TimePoint now)
{
    if (m_stream.begun()) {
        fail("a stream could not be resumed", now);
        return;
    }
    HttpFields fields = m_context.headerCodec.callerFields(m_attempt.head);
    addRelayResult(m_attempt.backend, fields);
    m_firstByteAt = now;
    finish(m_attempt.head.status, "served", now);
    m_writer.sendResponse(m_attempt.head.status, m_attempt.head.reason, std::move(fields),
                          std::move(m_attempt.body), now);
}

} // namespace lycheearch
