#include "Net/HttpCallChannel.h"

#include <algorithm>

#include "Net/HttpStatus.h"

namespace lycheearch {

HttpCallChannel::HttpCallChannel(EventLoop &loop, Endpoint server, Liveness liveness,
                                 HttpLimits limits)
    : m_loop(loop)
    , m_server(std::move(server))
    , m_liveness(liveness)
    , m_limits(limits)
{
}

HttpCallChannel::~HttpCallChannel()
{
    m_loop.cancel(m_timer);
}

void HttpCallChannel::call(HttpCall call)
{
    const TimePoint now = m_loop.now();
    const TimePoint deadline = now + call.timeout;
    m_queue.push_back({std::move(call), deadline, TimePoint(), false});
    startNext(now);
}

void HttpCallChannel::startNext(TimePoint now)
{
    if (m_currentCall || m_queue.empty()) {
        return;
    }
    m_currentCall = std::make_unique<Pending>(std::move(m_queue.front()));
    m_queue.pop_front();
    if (!m_lastCallFailed) {
        m_currentCall->deadline = now + m_currentCall->call.timeout;
    }
    startTimer();
    sendCurrent();
}

void HttpCallChannel::startTimer()
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.at(m_currentCall->deadline, [this](TimePoint currentTime) {
        m_timer = TimerId();
        finish(std::make_error_code(std::errc::timed_out), currentTime);
    });
}

void HttpCallChannel::extendDeadline(TimePoint now)
{
    Pending &pending = *m_currentCall;
    if (pending.respondingSince == TimePoint()) {
        pending.respondingSince = now;
    }
    pending.deadline =
        std::min(now + pending.call.timeout, pending.respondingSince + MaxResponseTime);
    startTimer();
}

void HttpCallChannel::sendCurrent()
{
    if (!m_socket) {
        std::error_code error;
        const int fd = connectTcp(m_server, error);
        if (fd < 0) {
            m_loop.defer([this, error] { finish(error, m_loop.now()); });
            return;
        }
        setTcpOptions(fd, m_liveness);
        m_socket =
            std::make_unique<StreamSocket>(m_loop, fd, StreamSocket::Start::Connecting, *this);
        m_connectionUsed = false;
    }
    m_input.clear();
    m_interimCount = 0;
    restartParser();
    if (m_socket->connected()) {
        transmit(m_loop.now());
    }
}

void HttpCallChannel::transmit(TimePoint now)
{
    const std::optional<TimePoint> &sendBy = m_currentCall->call.sendBy;
    if (sendBy && now > *sendBy) {
        m_loop.defer(
            [this] { finish(std::make_error_code(std::errc::operation_canceled), m_loop.now()); });
        return;
    }
    HttpRequestHead head = m_currentCall->call.head;
    head.fields.set("Host", m_server.text());
    if (!m_currentCall->call.body.empty() || head.method != "GET") {
        head.fields.set("Content-Length", std::to_string(m_currentCall->call.body.size()));
    }
    m_socket->send(serializeRequestHead(head) + m_currentCall->call.body);
}

void HttpCallChannel::restartParser()
{
    m_response = CompleteHttpResponse();
    m_parser = std::make_unique<HttpResponseParser>(m_limits, false, *this);
}

void HttpCallChannel::onConnected(TimePoint now)
{
    if (!m_currentCall) {
        return;
    }
    if (!m_lastCallFailed) {
        m_currentCall->deadline = now + m_currentCall->call.timeout;
        startTimer();
    }
    transmit(now);
}

void HttpCallChannel::onBytes(std::string_view bytes, TimePoint now)
{
    if (!m_currentCall || !m_parser) {
        dropConnection();
        return;
    }
    m_input.append(bytes);
    m_parser->feed(m_input);
    while (m_parser->complete() && m_response.status < HttpStatus::Ok
           && m_interimCount < MaxInterimResponses) {
        ++m_interimCount;
        restartParser();
        m_parser->feed(m_input);
    }
    if (m_parser->complete() && m_response.status < HttpStatus::Ok) {
        finish(std::make_error_code(std::errc::protocol_error), now);
    } else if (m_parser->parseError() != HttpParseError::None) {
        finish(std::make_error_code(std::errc::protocol_error), now);
    } else if (m_parser->complete()) {
        finish({}, now);
    } else {
        extendDeadline(now);
    }
}

void HttpCallChannel::onEnd(TimePoint now)
{
    if (m_currentCall && m_parser && m_parser->headComplete()) {
        m_parser->finish();
        finish(m_parser->complete() ? std::error_code()
                                    : std::make_error_code(std::errc::connection_reset),
               now);
        return;
    }
    handleConnectionLoss(std::make_error_code(std::errc::connection_reset), now);
}

void HttpCallChannel::onError(std::error_code error, TimePoint now)
{
    handleConnectionLoss(error, now);
}

void HttpCallChannel::onResponseHead(HttpResponseHead head)
{
    m_response.status = head.status;
    m_keepAlive = head.keepAlive && !head.isCloseDelimited();
    m_response.fields = std::move(head.fields);
}

void HttpCallChannel::onResponseBody(std::string_view bytes)
{
    m_response.body.append(bytes);
}

void HttpCallChannel::handleConnectionLoss(std::error_code error, TimePoint now)
{
    const bool retry = m_currentCall && m_connectionUsed && !m_currentCall->retried
        && m_currentCall->call.head.method == "GET" && !m_parser->headComplete();
    dropConnection();
    if (retry) {
        m_currentCall->retried = true;
        m_loop.defer([this] {
            if (m_currentCall) {
                sendCurrent();
            }
        });
        return;
    }
    finish(error, now);
}

void HttpCallChannel::finish(std::error_code error, TimePoint now)
{
    if (!m_currentCall) {
        return;
    }
    m_loop.cancel(m_timer);
    // A call that was not sent says nothing about the server or the connection.
    const bool failed = error && error != std::errc::operation_canceled;
    if (failed || !m_keepAlive) {
        dropConnection();
    }
    m_connectionUsed = true;
    m_lastCallFailed = failed;
    const std::unique_ptr<Pending> done = std::move(m_currentCall);
    CompleteHttpResponse response = std::move(m_response);
    done->call.callback(error, std::move(response), now);
    startNext(m_loop.now());
}

void HttpCallChannel::dropConnection()
{
    if (!m_socket) {
        return;
    }
    m_socket->close();
    // The socket or the parser may be on the call stack.
    m_loop.defer([socket = std::shared_ptr<StreamSocket>(std::move(m_socket)),
                  parser = std::shared_ptr<HttpResponseParser>(std::move(m_parser))] {});
    m_keepAlive = true;
}

} // namespace lycheearch
