#include "Forward/CallerConnection.h"
#include "Net/HttpStatus.h"

namespace lycheearch {

namespace {

/// While a request is being served, the bytes of the pipelined requests that follow it are
/// buffered. Reading pauses once there are more of them than this.
constexpr std::size_t MaxPipelinedBytes = 64UL * 1024;
/// How long the caller may take to close the connection after the last response.
constexpr Duration LingerTimeout = 1s;
constexpr Liveness CallerLiveness{2s, 1s, 2, 4s};

} // namespace

CallerConnection::CallerConnection(ForwardContext &context, RequestOrigin origin, int fd,
                                   bool draining, ClosedCallback onClosed, TimePoint now)
    : m_context(context)
    , m_origin(origin)
    , m_onClosed(std::move(onClosed))
    , m_socket(context.loop, fd, StreamSocket::Start::Connected, *this)
    , m_draining(draining)
{
    setTcpOptions(fd, CallerLiveness);
    startRequest(now);
}

CallerConnection::~CallerConnection()
{
    releaseBodyMemory();
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
    m_parser = std::make_unique<HttpRequestParser>(
        HttpLimits{callerLimits.headBytes, callerLimits.bodyBytes}, *this);
    m_body.clear();
    releaseBodyMemory();
    startTimer(callerLimits.idleTimeout, now);
}

void CallerConnection::drain()
{
    m_draining = true;
}

void CallerConnection::closeIfIdle(TimePoint now)
{
    if (idle()) {
        linger(now);
    }
}

void CallerConnection::terminate(TimePoint now)
{
    if (m_state != State::Serving) {
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
        return;
    }
    m_input.append(bytes);
    if (m_state == State::Serving) {
        if (m_input.size() > MaxPipelinedBytes) {
            m_socket.setReading(false);
        }
        return;
    }
    parse(now);
}

void CallerConnection::parse(TimePoint now)
{
    m_now = now;
    if (m_state == State::Waiting && !m_input.empty()) {
        m_state = State::Reading;
        startTimer(limits().headTimeout, now);
    }
    const bool headWasComplete = m_parser->headComplete();
    m_parser->feed(m_input);
    switch (m_parser->parseError()) {
    case HttpParseError::None:
        break;
    case HttpParseError::HeadTooLarge:
        rejectRequest(HttpStatus::HeadTooLarge, "request header fields too large", now);
        return;
    case HttpParseError::BodyTooLarge:
        rejectRequest(HttpStatus::PayloadTooLarge, "request body too large", now);
        return;
    case HttpParseError::Malformed:
    case HttpParseError::Truncated:
        rejectRequest(HttpStatus::BadRequest, "malformed request", now);
        return;
    }
    if (m_bodyBudgetExceeded) {
        rejectRequest(HttpStatus::Unavailable, "memory limit for request bodies reached", now);
    } else if (m_parser->complete()) {
        serve(now);
    } else if (m_parser->headComplete()) {
        if (!headWasComplete && m_head.fields.hasToken("Expect", "100-continue")) {
            m_socket.send("HTTP/1.1 100 Continue\r\n\r\n");
        }
        startTimer(limits().idleTimeout, now);
    }
}

void CallerConnection::onRequestHead(HttpRequestHead head)
{
    m_head = std::move(head);
}

void CallerConnection::onRequestBody(std::string_view bytes)
{
    if (m_bodyBudgetExceeded || !m_context.bodyBudget.tryReserve(bytes.size())) {
        m_bodyBudgetExceeded = true;
        return;
    }
    m_reservedBytes += bytes.size();
    m_body.append(bytes);
}

void CallerConnection::releaseBodyMemory()
{
    m_context.bodyBudget.release(m_reservedBytes);
    m_reservedBytes = 0;
}

void CallerConnection::serve(TimePoint now)
{
    m_state = State::Serving;
    m_context.loop.cancel(m_timer);
    m_keepAlive = m_head.keepAlive;
    m_chunkedResponse = !m_head.isHttp10;
    m_bodyless = m_head.method == "HEAD";
    if (m_head.method == "CONNECT" || m_head.fields.count("Host") != 1) {
        rejectRequest(HttpStatus::BadRequest,
                      "CONNECT is not supported, and exactly one Host field is required", now);
        return;
    }
    DecodedRequest request = m_context.headerCodec.decodeRequest(std::move(m_head));
    if (m_origin == RequestOrigin::Daemon) {
        request.relayed = takeRelayedRequest(request.head.fields);
    }
    m_forwarder = std::make_unique<RequestForwarder>(m_context, *this, std::move(request),
                                                     std::move(m_body), now);
    m_body = std::string();
    m_forwarder->start(now);
}

void CallerConnection::rejectRequest(int status, const char *cause, TimePoint now)
{
    m_context.log.write(LogPriority::Notable,
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
                                    std::string_view body, TimePoint now)
{
    if (m_draining) {
        m_keepAlive = false;
    }
    fields.add("Content-Length", std::to_string(body.size()));
    if (!m_keepAlive) {
        fields.add("Connection", "close");
    }
    std::string bytes = serializeResponseHead(status, reason, fields);
    if (!m_bodyless) {
        bytes.append(body);
    }
    m_socket.send(bytes);
    finishResponse(now);
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
    if (!m_keepAlive) {
        fields.add("Connection", "close");
    }
    m_socket.send(serializeResponseHead(status, reason, fields));
}

void CallerConnection::writeStream(std::string_view bytes)
{
    m_socket.send(m_chunkedResponse ? serializeChunk(bytes) : std::string(bytes));
}

void CallerConnection::endStream(TimePoint now)
{
    if (m_chunkedResponse) {
        m_socket.send(LastChunk);
    }
    m_endsWithConnection = false;
    if (m_draining) {
        m_keepAlive = false;
    }
    finishResponse(now);
}

void CallerConnection::abortResponse(TimePoint now)
{
    close(now);
}

void CallerConnection::finishResponse(TimePoint now)
{
    if (!m_keepAlive) {
        linger(now);
        return;
    }
    // The forwarder and the parser may be on the call stack.
    m_context.loop.defer([this] {
        if (m_state != State::Serving) {
            return;
        }
        const TimePoint currentTime = m_context.loop.now();
        m_forwarder.reset();
        startRequest(currentTime);
        m_socket.setReading(true);
        if (!m_input.empty()) {
            parse(currentTime);
        }
    });
}

void CallerConnection::linger(TimePoint now)
{
    m_state = State::Lingering;
    m_input.clear();
    m_socket.setReading(true);
    m_socket.shutdownSending();
    startTimer(LingerTimeout, now);
}

void CallerConnection::onEnd(TimePoint now)
{
    cancel(now);
}

void CallerConnection::onError(std::error_code, TimePoint now)
{
    cancel(now);
}

void CallerConnection::onSendQueueEmpty(TimePoint) { }

void CallerConnection::close(TimePoint)
{
    if (m_state == State::Closed) {
        return;
    }
    m_state = State::Closed;
    m_context.loop.cancel(m_timer);
    if (m_endsWithConnection) {
        m_socket.abort();
    } else {
        m_socket.close();
    }
    m_onClosed(*this);
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
    switch (m_state) {
    case State::Waiting:
        linger(now);
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
