#include "Forward/CallerConnection.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "Net/HttpStatus.h"

namespace lycheearch {

namespace {

/// Read at a time until the head of a request is complete, so that little of the requests that
/// follow it is read with it.
constexpr std::size_t HeadReceiveBytes = 4UL * 1024;
/// Receive buffer of a connection once a larger body arrives on it.
constexpr std::size_t BodyReceiveBufferBytes = 64UL * 1024;
/// A request that is incomplete for so long is given up first to make room for a connection.
constexpr Duration RequestStalledAfter = 500ms;
/// How long the caller may take to close the connection after the last response.
constexpr Duration LingerTimeout = 1s;
/// An idle connection that can't be closed at its limit is checked again after this time.
constexpr Duration IdleCheckPeriod = 1s;
/// Part of the idle timeout that responses announce, so that a request that is sent within it
/// arrives before the connection is closed.
constexpr double KeepAliveShare = 0.8;
constexpr Liveness CallerLiveness{2s, 1s, 2, 4s};
/// A caller whose connection ends after it has taken nothing for so long counts as not reading.
constexpr Duration ShortestNotReading = 2s;
/// Larger bodies are written apart from their head, and not copied.
constexpr std::size_t MaxJoinedBodyBytes = 16UL * 1024;
constexpr int MaxUnsentBytes = 128 * 1024; ///< In the kernel.
/// The next request on a connection begins once no more than this is unread, or than the watermark
/// of RelayBackpressure.
constexpr std::size_t MaxUnreadBefore = 64UL * 1024;

} // namespace

CallerConnection::CallerConnection(ForwardContext &context, RequestOrigin origin, int fd,
                                   bool draining, ClosedCallback onClosed, TimePoint now)
    : m_context(context)
    , m_origin(origin)
    , m_onClosed(std::move(onClosed))
    , m_readerId(context.readers.newId())
    , m_socket(context.loop, fd, StreamSocket::Start::Connected, *this)
    , m_receiver(context.requests, *this)
    , m_draining(draining)
{
    setTcpOptions(fd, CallerLiveness);
    limitUnsentBytes(fd, MaxUnsentBytes);
    startRequest(now);
}

CallerConnection::~CallerConnection()
{
    m_context.readers.remove(m_readerId);
    m_context.loop.cancel(m_timer);
}

CallerLimits CallerConnection::limits() const
{
    const auto table = m_context.view.table();
    return table ? table->limits() : CallerLimits();
}

void CallerConnection::startRequest(TimePoint now)
{
    const CallerLimits callerLimits = limits();
    m_state = State::Waiting;
    releaseRequest();
    m_receiver.beginNext({callerLimits.headBytes, callerLimits.bodyBytes});
    m_socket.setReceiveSize(HeadReceiveBytes);
    m_idleSince = now;
    m_waitingSince = now;
    m_idleLimit = std::max(m_idleLimit, callerLimits.idleTimeout);
    startTimer(m_idleLimit, now);
}

void CallerConnection::releaseRequest()
{
    m_forwarder.reset();
    m_receiver.release();
}

void CallerConnection::drain()
{
    m_draining = true;
}

void CallerConnection::closeIfIdle(TimePoint now)
{
    if (idle()) {
        closeIfNothingArrived("the process is stopping", now);
    }
}

CallerConnection::Dispensability CallerConnection::dispensability(TimePoint now) const
{
    switch (m_state) {
    case State::Serving:
    case State::Closed:
        return Dispensability::Never;
    case State::Reading:
        return now - m_waitingSince >= RequestStalledAfter ? Dispensability::RequestStalled
                                                           : Dispensability::RequestBegun;
    case State::Waiting:
    case State::Lingering:
        break;
    }
    return m_socket.queuedBytes() > 0 ? Dispensability::ResponseUnread : Dispensability::Idle;
}

void CallerConnection::closeForRoom(TimePoint now)
{
    beginClosure("too many connections", now);
    close(now);
}

void CallerConnection::terminate(TimePoint now)
{
    if (m_state != State::Serving) {
        beginClosure("the process must exit", now);
        close(now);
        return;
    }
    m_keepAlive = false;
    if (m_forwarder) {
        m_forwarder->giveUp("the process must exit", now);
    }
}

void CallerConnection::cancel(TimePoint now)
{
    if (m_forwarder) {
        m_forwarder->cancel(now);
    }
    close(now);
}

void CallerConnection::onBytes(std::string_view bytes, TimePoint now)
{
    if (m_state == State::Lingering || m_state == State::Closed) {
        m_closure.onDropped(bytes.size(), now);
        return;
    }
    if (m_dropsAhead) {
        return;
    }
    m_receiver.append(bytes);
    if (receivesAhead()) {
        keepAhead(now);
    } else {
        parse(now);
    }
}

bool CallerConnection::receivesAhead() const
{
    return m_state == State::Serving || (m_state == State::Waiting && !mayStartNext());
}

void CallerConnection::keepAhead(TimePoint now)
{
    if (m_receiver.unparsedBytes() == 0) {
        return;
    }
    if (m_receiver.keepAhead(now)) {
        m_socket.setReading(false);
    } else {
        dropAhead();
    }
}

void CallerConnection::dropAhead()
{
    m_context.limitObserver.onClientLimit(portName(m_origin), "requests sent ahead",
                                          m_context.loop.now());
    m_receiver.dropUnparsed();
    m_dropsAhead = true;
    m_keepAlive = false;
    m_socket.setReading(true);
    if (m_state == State::Waiting) {
        linger("requests sent ahead", m_context.loop.now());
    }
}

void CallerConnection::giveUpRequest(TimePoint now)
{
    if (receivesAhead()) {
        dropAhead();
    } else if (m_state == State::Reading) {
        m_receiver.release();
        rejectRequest(HttpStatus::Unavailable, "memory limit for requests reached", now);
    }
}

void CallerConnection::parse(TimePoint now)
{
    if (m_state == State::Waiting && m_receiver.unparsedBytes() > 0) {
        m_state = State::Reading;
        m_waitingSince = now;
        startTimer(limits().headTimeout, now);
    }
    const bool headWasComplete = m_receiver.headComplete();
    m_receiver.parse(now);
    if (const auto &rejection = m_receiver.rejection()) {
        rejectRequest(rejection->status, rejection->cause, now);
    } else if (m_receiver.complete()) {
        serve(now);
    } else if (m_receiver.headComplete()) {
        if (!headWasComplete) {
            beginBody();
        }
        followBodyRoom();
        startTimer(limits().idleTimeout, now);
    }
}

void CallerConnection::beginBody()
{
    m_socket.setReceiveSize(StreamSocket::MaxReceiveBytes);
    if (m_receiver.head().fields.hasToken("Expect", "100-continue")) {
        m_socket.send("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void CallerConnection::followBodyRoom()
{
    if (!m_largeReceiveBuffer && m_receiver.bodyRoom() > BodyReceiveBufferBytes) {
        m_largeReceiveBuffer = true;
        m_socket.limitReceiveBuffer(BodyReceiveBufferBytes);
    }
}

void CallerConnection::serve(TimePoint now)
{
    m_state = State::Serving;
    m_context.loop.cancel(m_timer);
    HttpRequestHead head = m_receiver.takeHead();
    m_keepAlive = head.keepAlive;
    m_chunkedResponse = !head.isHttp10;
    m_bodyless = head.method == "HEAD";
    keepAhead(now);
    if (head.method == "CONNECT" || head.fields.count("Host") != 1) {
        rejectRequest(HttpStatus::BadRequest,
                      "CONNECT is not supported, and exactly one Host field is required", now);
        return;
    }
    DecodedRequest request = m_context.headerCodec.decodeRequest(std::move(head));
    if (!m_receiver.holdDecoded(memoryBytes(request.prompt), now)) {
        rejectRequest(HttpStatus::Unavailable, "memory limit for requests reached", now);
        return;
    }
    if (m_origin == RequestOrigin::Daemon) {
        request.relayed = takeRelayedRequest(request.head.fields);
    }
    m_requestId = request.id.value();
    m_forwarder = std::make_unique<RequestForwarder>(
        m_context, *this, std::move(request),
        std::make_shared<const std::string>(m_receiver.takeBody()), now);
    m_forwarder->start(now);
}

void CallerConnection::rejectRequest(int status, const char *cause, TimePoint now)
{
    m_context.log.write(LogPriority::Client,
                        LogLine("request.refused").add("status", status).add("cause", cause), now);
    m_context.metrics.count("lycheearch_requests_total",
                            "status=\"" + std::to_string(status) + "\"");
    m_state = State::Serving;
    m_keepAlive = false;
    HttpFields fields;
    fields.add("Content-Type", "text/plain");
    sendResponse(status, reasonPhrase(status), std::move(fields), std::string(cause) + "\n", now);
}

void CallerConnection::sendResponse(int status, std::string_view reason, HttpFields fields,
                                    std::string body, TimePoint now)
{
    if (m_draining) {
        m_keepAlive = false;
    }
    fields.add("Content-Length", std::to_string(body.size()));
    addConnectionFields(fields);
    std::string head = serializeResponseHead(status, reason, fields);
    if (m_bodyless || body.size() <= MaxJoinedBodyBytes) {
        m_socket.send(head.append(m_bodyless ? std::string() : body));
    } else {
        m_socket.send(head);
        m_socket.send(std::make_shared<const std::string>(std::move(body)));
    }
    afterWrite(now);
    finishResponse(now);
}

void CallerConnection::addConnectionFields(HttpFields &fields)
{
    if (!m_keepAlive) {
        fields.add("Connection", "close");
        return;
    }
    m_idleLimit = limits().idleTimeout;
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(m_idleLimit * KeepAliveShare);
    if (seconds > std::chrono::seconds::zero()) {
        fields.add("Keep-Alive", "timeout=" + std::to_string(seconds.count()));
    }
}

void CallerConnection::beginStream(int status, std::string_view reason, HttpFields fields)
{
    if (m_draining || !m_chunkedResponse) {
        m_keepAlive = false;
    }
    m_endsWithConnection = !m_chunkedResponse;
    if (m_chunkedResponse) {
        fields.add("Transfer-Encoding", "chunked");
    }
    addConnectionFields(fields);
    m_socket.send(serializeResponseHead(status, reason, fields));
}

void CallerConnection::writeStream(std::string_view bytes)
{
    m_socket.send(m_chunkedResponse ? serializeChunk(bytes) : std::string(bytes));
    afterWrite(m_context.loop.now());
}

void CallerConnection::endStream(TimePoint now)
{
    if (m_chunkedResponse) {
        m_socket.send(LastChunk);
        afterWrite(now);
    }
    m_endsWithConnection = false;
    finishResponse(now);
}

void CallerConnection::abortResponse(TimePoint now)
{
    close(now);
}

void CallerConnection::finishResponse(TimePoint now)
{
    // The forwarder and the parser may be on the call stack.
    if (!m_keepAlive) {
        linger("last response", now);
        m_context.loop.defer([this] { releaseRequest(); });
        return;
    }
    m_context.loop.defer([this] {
        if (m_state != State::Serving) {
            return;
        }
        const TimePoint currentTime = m_context.loop.now();
        startRequest(currentTime);
        if (mayStartNext()) {
            startNext(currentTime);
        }
    });
}

void CallerConnection::startNext(TimePoint now)
{
    m_socket.setReading(true);
    if (m_receiver.unparsedBytes() > 0) {
        parse(now);
    }
}

void CallerConnection::beginClosure(const char *why, TimePoint now)
{
    const bool resting = m_state == State::Waiting;
    m_closure.begin(why,
                    {resting ? now - m_idleSince : Duration(), m_idleLimit, limits().idleTimeout},
                    m_receiver.unparsedBytes() + m_socket.receivedBytes(), now);
}

void CallerConnection::closeIfNothingArrived(const char *why, TimePoint now)
{
    // A close with unread bytes is a reset, which would also take the end of the last response.
    if (m_socket.receivedBytes() > 0 || m_socket.queuedBytes() > 0
        || m_socket.unacknowledgedBytes() > 0) {
        return;
    }
    beginClosure(why, now);
    close(now);
}

void CallerConnection::linger(const char *why, TimePoint now)
{
    beginClosure(why, now);
    m_state = State::Lingering;
    m_receiver.dropUnparsed();
    m_socket.setReading(true);
    m_socket.shutdownSending();
    startTimer(LingerTimeout, now);
}

void CallerConnection::onEnd(TimePoint now)
{
    // The kernel ends a connection whose peer takes nothing, and may report it as an end.
    if (m_context.readers.backpressure().notReadFor(m_readerId, now) >= ShortestNotReading) {
        logNotReading("connection ended", now);
    }
    cancel(now);
}

void CallerConnection::onError(std::error_code, TimePoint now)
{
    onEnd(now);
}

void CallerConnection::onSendProgress(TimePoint now)
{
    followReading(now);
    if (m_state == State::Waiting && mayStartNext()) {
        startNext(now);
    }
    if (m_socket.queuedBytes() == 0 && m_state == State::Waiting) {
        m_idleSince = now;
        startTimer(m_idleLimit, now);
    } else if (m_socket.queuedBytes() == 0 && m_state == State::Lingering) {
        startTimer(LingerTimeout, now);
    }
}

bool CallerConnection::mayStartNext() const
{
    return m_socket.queuedBytes()
        <= std::min(MaxUnreadBefore, m_context.readers.backpressure().watermark());
}

UnreadBytes CallerConnection::unread() const
{
    return {m_socket.queuedBytes(), m_socket.takenBytes()};
}

void CallerConnection::afterWrite(TimePoint now)
{
    if (m_socket.queuedBytes() > 0) {
        m_blocked = m_context.readers.update(m_readerId, *this, now) || m_blocked;
    }
}

void CallerConnection::followReading(TimePoint now)
{
    const bool blocked = m_context.readers.update(m_readerId, *this, now);
    const bool resumes = std::exchange(m_blocked, blocked) && !blocked;
    if (resumes && m_state == State::Serving && m_forwarder) {
        m_forwarder->onCallerReads(now);
    }
}

void CallerConnection::endUnread(const char *why, TimePoint now)
{
    logNotReading(why, now);
    m_context.readers.remove(m_readerId);
    m_socket.abort();
    // The forwarder may be on the call stack.
    m_context.loop.defer([this] { cancel(m_context.loop.now()); });
}

void CallerConnection::logNotReading(const char *why, TimePoint now)
{
    const RelayBackpressure &backpressure = m_context.readers.backpressure();
    m_context.metrics.count("lycheearch_callers_not_reading_total",
                            std::string("why=\"") + why + "\"");
    m_context.log.write(
        LogPriority::Notable,
        LogLine("caller.not_reading")
            .add("id", m_requestId)
            .add("why", why)
            .add("queued", static_cast<std::int64_t>(backpressure.queuedBytes(m_readerId)))
            .add("age_ms", backpressure.notReadFor(m_readerId, now))
            .add("unread_in_all", static_cast<std::int64_t>(backpressure.unreadBytes())),
        now);
}

void CallerConnection::close(TimePoint now)
{
    if (m_state == State::Closed) {
        return;
    }
    m_state = State::Closed;
    m_closure.report(m_requestId, m_context.log, m_context.metrics, now);
    m_context.loop.cancel(m_timer);
    // Without a reset, a caller might take what it has received for whole.
    if (m_endsWithConnection || m_socket.queuedBytes() > 0) {
        m_socket.abort();
    } else {
        m_socket.close();
    }
    m_context.readers.remove(m_readerId);
    m_onClosed(*this);
}

void CallerConnection::onIdleTimer(TimePoint now)
{
    const TimePoint end = m_idleSince + std::max(m_idleLimit, limits().idleTimeout);
    if (now < end) {
        startTimer(end - now, now); // The present configuration allows a longer rest.
        return;
    }
    startTimer(IdleCheckPeriod, now);
    closeIfNothingArrived("idle", now);
}

void CallerConnection::startTimer(Duration limit, TimePoint now)
{
    m_context.loop.cancel(m_timer);
    m_timer = m_context.loop.at(now + limit, [this](TimePoint currentTime) {
        m_timer = TimerId();
        onTimer(currentTime);
    });
}

void CallerConnection::onTimer(TimePoint now)
{
    const bool responded = m_state == State::Waiting || m_state == State::Lingering;
    if (responded && m_socket.queuedBytes() > 0) {
        // The caller is still reading. CallerReaders ends it if it doesn't.
        startTimer(LingerTimeout, now);
        return;
    }
    switch (m_state) {
    case State::Waiting:
        onIdleTimer(now);
        break;
    case State::Reading:
        rejectRequest(HttpStatus::RequestTimeout, "timeout while reading the request", now);
        break;
    case State::Lingering:
        close(now);
        break;
    case State::Serving:
    case State::Closed:
        break;
    }
}

} // namespace lycheearch
