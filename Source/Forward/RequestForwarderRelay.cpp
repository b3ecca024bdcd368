#include <algorithm>

#include "Base/Hash.h"
#include "Forward/RequestForwarder.h"
#include "Net/HttpStatus.h"

// The part of RequestForwarder that passes requests to another daemon if this one does not reach
// their backend servers, and that serves such requests of other daemons. A request is passed on
// once at most.

namespace lycheearch {

namespace {

/// Daemons that one request is passed to, one after the other.
constexpr std::size_t MaxPeersPerRequest = 3;
/// Failed connections of one request after which it is passed on.
constexpr int ConnectFailuresBeforeRelay = 2;
/// Another daemon's stall timer runs first.
constexpr int RelayStallFactor = 2;

/// Whether the daemon itself refused the request, rather than a backend server.
bool isRefusal(const HttpResponseHead &head, const ResponseMetadata &metadata)
{
    return head.status == HttpStatus::Unavailable && !metadata.hasSeal;
}

} // namespace

PeerOutcome RequestForwarder::peerOutcome(SendOutcome outcome)
{
    switch (outcome) {
    case SendOutcome::Served:
        return PeerOutcome::Answered;
    case SendOutcome::Cancelled:
        return PeerOutcome::Cancelled;
    default:
        return PeerOutcome::Lost;
    }
}

bool RequestForwarder::mayRelay(TimePoint now) const
{
    return !m_request.relayed && !m_noPeerLeft && m_execution.maySendAgain(m_route->retryable())
        && m_triedPeers.size() < MaxPeersPerRequest && m_attemptCount < maxAttempts()
        && now < m_deadline;
}

bool RequestForwarder::shouldRelay(TimePoint now) const
{
    const bool unreached = m_context.picker.reach().cutOff(m_service)
        || m_connectFailures >= ConnectFailuresBeforeRelay;
    return unreached && mayRelay(now);
}

bool RequestForwarder::relay(TimePoint now)
{
    const Duration maxIdle = m_context.connections.maxIdle(m_route->retryable());
    while (mayRelay(now)) {
        const auto peer =
            m_context.peers.choose(m_service, m_triedPeers, stableHash(m_request.id.value()), now);
        if (!peer) {
            m_noPeerLeft = true;
            return false;
        }
        m_triedPeers.insert(peer->instance);
        std::error_code error;
        auto connection =
            m_context.peerConnections.acquire(peer->instance, *peer->relay, maxIdle, now, error);
        if (!connection) {
            continue;
        }
        m_attempt = Attempt();
        m_attempt.relayed = true;
        m_attempt.backend = peer->instance;
        m_attempt.newConnection = connection->isNew();
        m_attempt.connection = std::move(connection);
        sendToPeer(now);
        return true;
    }
    return false;
}

void RequestForwarder::sendToPeer(TimePoint now)
{
    HttpRequestHead head =
        m_context.headerCodec.encodeRelay(m_request, m_deadline - now, m_stream.lastEventId());
    head.fields.remove("Content-Length");
    if (m_request.head.contentLength || m_request.head.chunked) {
        head.fields.add("Content-Length", std::to_string(m_body->size()));
    }
    // One attempt stays with this daemon, if the other one has another.
    m_attempt.peerMaxAttempts = std::max(m_attemptCount + 1, maxAttempts() - 1);
    addRelayFields(RelayedRequest{m_attemptCount,
                                  {m_triedBackends.begin(), m_triedBackends.end()},
                                  m_table->version(),
                                  m_attempt.peerMaxAttempts},
                   head.fields);
    m_inAttempt = true;
    m_execution.onSent();
    m_attempt.sentAt = now;
    m_context.peers.onSent(m_attempt.backend);
    m_context.metrics.count("lycheearch_requests_relayed_total");
    if (m_context.log.admitRoutineLine(now)) {
        m_context.log.write(
            LogPriority::Routine,
            LogLine("relay.sent")
                .add("id", m_request.id.value())
                .add("peer", m_attempt.backend.value())
                .add("service", m_service.value())
                .add("cut_off", m_context.picker.reach().cutOff(m_service) ? "yes" : "no")
                .add("sends", m_attemptCount)
                .add("connect_failures", m_connectFailures)
                .add("left_ms", m_deadline - now),
            now);
    }
    startStallTimer(now);
    m_attempt.connection->send(serializeRequestHead(head), m_body, head.method == "HEAD", *this,
                               now);
}

int RequestForwarder::attemptsIfPeerIsLost() const
{
    return std::max(m_attemptCount, m_attempt.peerMaxAttempts);
}

Duration RequestForwarder::relayStallLimit() const
{
    return stallLimit() * RelayStallFactor;
}

void RequestForwarder::onPeerResponseStarted(TimePoint now)
{
    m_attempt.relayResult = takeRelayedResponse(m_attempt.head.fields);
    m_attemptCount = std::max(m_attemptCount, m_attempt.relayResult.attempts);
    m_attempt.headReceived = true;
    m_attempt.headAt = now;
    if (!m_attempt.relayResult.backend.empty()) {
        m_triedBackends.insert(m_attempt.relayResult.backend);
        applyNotices(m_attempt.relayResult.backend, m_attempt.metadata, now);
    }
}

void RequestForwarder::handlePeerResponse(TimePoint now)
{
    if (!isRefusal(m_attempt.head, m_attempt.metadata)) {
        endRelay(PeerOutcome::Answered, true, now);
        if (m_stream.begun()) {
            retryOrFail("the daemon that the request was passed to could not resume the stream",
                        now);
        } else if (m_attempt.head.status >= HttpStatus::FirstServerError) {
            keepErrorResponse();
            retryOrFail("error response through the daemon that the request was passed to", now);
        } else {
            sendBackendResponse(now);
        }
        return;
    }
    m_execution.onProvenNotExecuted();
    const bool declined = m_attempt.relayResult.declined;
    m_retryAfter = m_attempt.metadata.retryAfter.value_or(m_retryAfter);
    m_context.log.write(LogPriority::Notable,
                        LogLine("relay.refused")
                            .add("id", m_request.id.value())
                            .add("peer", m_attempt.backend.value())
                            .add("declined", declined ? "yes" : "no")
                            .add("after_ms", now - m_attempt.sentAt),
                        now);
    endRelay(declined ? PeerOutcome::Declined : PeerOutcome::Answered, true, now);
    if (declined) {
        dispatch(now);
    } else {
        fail("the daemon that the request was passed to refused it", now);
    }
}

void RequestForwarder::onPeerLost(Delivery delivery, std::error_code error, TimePoint now)
{
    m_context.log.write(LogPriority::Notable,
                        LogLine("relay.lost")
                            .add("id", m_request.id.value())
                            .add("peer", m_attempt.backend.value())
                            .add("sent", delivery == Delivery::NotSent ? "no" : "maybe")
                            .add("error", error.message())
                            .add("after_ms", now - m_attempt.sentAt),
                        now);
    endRelay(PeerOutcome::Lost, false, now);
    if (delivery == Delivery::NotSent) {
        m_execution.onProvenNotExecuted();
        dispatch(now);
        return;
    }
    m_attemptCount = attemptsIfPeerIsLost();
    retryOrFail("connection to the daemon that the request was passed to lost", now);
}

void RequestForwarder::endRelay(PeerOutcome outcome, bool keepConnection, TimePoint now)
{
    m_inAttempt = false;
    m_context.responseBudget.release(m_attempt.reservedBytes);
    m_attempt.reservedBytes = 0;
    m_context.loop.cancel(m_attempt.stallTimer);
    m_context.peers.onEnded(m_attempt.backend, outcome, now);
    if (keepConnection) {
        m_context.peerConnections.release(m_attempt.backend, std::move(m_attempt.connection));
    } else if (m_attempt.connection) {
        m_context.peerConnections.discard(std::move(m_attempt.connection));
    }
}

bool RequestForwarder::declinesRelayed(TimePoint now)
{
    if (!m_request.relayed || !m_context.picker.reach().cutOff(m_service)) {
        return false;
    }
    decline("this daemon does not reach the backend servers either", now);
    return true;
}

void RequestForwarder::decline(const char *cause, TimePoint now)
{
    m_declined = true;
    fail(cause, now);
}

void RequestForwarder::addRelayResult(const InstanceId &backend, HttpFields &fields) const
{
    if (m_request.relayed) {
        addRelayFields(RelayedResponse{m_attemptCount, backend, m_declined}, fields);
    }
}

} // namespace lycheearch
