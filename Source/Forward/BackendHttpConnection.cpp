#include "Forward/BackendHttpConnection.h"

#include <utility>

#include "Net/HttpStatus.h"

namespace lycheearch {

namespace {

/// Assumed if the server does not declare how long it keeps idle connections.
constexpr Duration DefaultIdleTimeout = 5s;
/// Larger bodies are written apart from their head, and not copied.
constexpr std::size_t MaxJoinedBodyBytes = 16UL * 1024;
constexpr int MaxUnsentBytes = 128 * 1024; ///< In the kernel.

/// Reads the timeout parameter, in seconds, of a Keep-Alive field such as "timeout=5, max=100".
std::optional<Duration> keepAliveTimeout(const HttpFields &fields)
{
    const std::string *value = fields.find("Keep-Alive");
    if (value == nullptr) {
        return std::nullopt;
    }
    constexpr std::string_view prefix = "timeout=";
    const std::size_t start = value->find(prefix);
    if (start == std::string::npos) {
        return std::nullopt;
    }
    std::string_view digits = std::string_view(*value).substr(start + prefix.size());
    digits = trimmed(digits.substr(0, digits.find(',')));
    const auto seconds = parseNumber(digits);
    return seconds ? std::optional<Duration>(std::chrono::seconds(*seconds)) : std::nullopt;
}

} // namespace

std::unique_ptr<BackendHttpConnection> BackendHttpConnection::open(EventLoop &loop,
                                                                   const Endpoint &address,
                                                                   const Limits &limits,
                                                                   std::error_code &error)
{
    const int fd = connectTcp(address, error);
    if (fd < 0) {
        return nullptr;
    }
    setTcpOptions(fd, limits.liveness);
    limitUnsentBytes(fd, MaxUnsentBytes);
    return std::make_unique<BackendHttpConnection>(loop, fd, limits);
}

BackendHttpConnection::BackendHttpConnection(EventLoop &loop, int fd, const Limits &limits)
    : m_loop(loop)
    , m_limits(limits)
    , m_socket(loop, fd, StreamSocket::Start::Connecting, *this)
    , m_serverIdleTimeout(DefaultIdleTimeout)
{
    m_connectTimer = loop.at(loop.now() + limits.connectTimeout, [this](TimePoint now) {
        m_connectTimer = TimerId();
        m_socket.close();
        reportConnectionLoss(std::make_error_code(std::errc::timed_out), now);
    });
}

BackendHttpConnection::~BackendHttpConnection()
{
    m_loop.cancel(m_connectTimer);
}

void BackendHttpConnection::send(std::string_view head, SharedBody body, bool bodyless,
                                 BackendResponseListener &listener, TimePoint now)
{
    m_listener = &listener;
    m_bodyless = bodyless;
    m_now = now;
    m_input.clear();
    m_bodyPart.clear();
    m_interimCount = 0;
    restartParser();
    if (body && body->size() <= MaxJoinedBodyBytes) {
        m_socket.send(std::string(head) + *body);
        return;
    }
    m_socket.send(head);
    m_socket.send(std::move(body));
}

void BackendHttpConnection::abort()
{
    m_listener = nullptr;
    m_loop.cancel(m_connectTimer);
    m_socket.close();
}

bool BackendHttpConnection::reusable() const
{
    return m_socket.isOpen() && m_keepAlive && !m_hasSkippedResponse && m_socket.queuedBytes() == 0
        && m_input.empty();
}

void BackendHttpConnection::onConnected(TimePoint now)
{
    m_loop.cancel(m_connectTimer);
    if (m_listener != nullptr) {
        m_listener->onConnected(now);
    }
}

void BackendHttpConnection::onBytes(std::string_view bytes, TimePoint now)
{
    if (m_listener == nullptr) {
        // No request is pending, so the data is unsolicited and the connection must not be reused.
        m_keepAlive = false;
        m_socket.close();
        return;
    }
    m_input.append(bytes);
    feed(now);
}

void BackendHttpConnection::feed(TimePoint now)
{
    m_now = now;
    while (m_listener != nullptr) {
        m_parser->feed(m_input);
        deliverBody(now);
        if (m_listener == nullptr) {
            return; // The listener gave up the response while it received part of it.
        }
        if (m_parser->parseError() != HttpParseError::None) {
            m_socket.close();
            reportConnectionLoss(std::make_error_code(std::errc::protocol_error), now);
            return;
        }
        if (!m_parser->complete()) {
            return;
        }
        if (!m_skipping && !m_interim) {
            completeResponse(now);
            return;
        }
        if (m_interimCount > MaxInterimResponses) {
            m_socket.close();
            reportConnectionLoss(std::make_error_code(std::errc::protocol_error), now);
            return;
        }
        restartParser();
        if (m_input.empty()) {
            return;
        }
    }
}

void BackendHttpConnection::restartParser()
{
    m_skipping = false;
    m_interim = false;
    m_parser = std::make_unique<HttpResponseParser>(m_limits.http, m_bodyless, *this);
}

void BackendHttpConnection::onResponseHead(HttpResponseHead head)
{
    m_interim = head.status < HttpStatus::Ok;
    if (m_listener == nullptr) {
        return;
    }
    if (m_interim) {
        ++m_interimCount;
        m_listener->onInterimResponse(head, m_now);
        return;
    }
    m_keepAlive = head.keepAlive && !head.isCloseDelimited();
    if (const auto timeout = keepAliveTimeout(head.fields)) {
        m_serverIdleTimeout = *timeout;
    }
    m_skipping =
        m_listener->onResponseStarted(head, m_now) == BackendResponseListener::Verdict::Skip;
    m_hasSkippedResponse = m_hasSkippedResponse || m_skipping;
}

void BackendHttpConnection::onResponseBody(std::string_view bytes)
{
    if (m_listener != nullptr && !m_skipping && !m_interim) {
        m_bodyPart.append(bytes);
    }
}

void BackendHttpConnection::deliverBody(TimePoint now)
{
    if (m_listener != nullptr && !m_bodyPart.empty()) {
        m_listener->onResponseData(std::exchange(m_bodyPart, std::string()), now);
    }
}

void BackendHttpConnection::completeResponse(TimePoint now)
{
    BackendResponseListener *listener = m_listener;
    m_listener = nullptr;
    m_socket.holdReading(false);
    m_idleSince = now;
    ++m_responseCount;
    listener->onResponseComplete(now);
}

void BackendHttpConnection::onEnd(TimePoint now)
{
    m_keepAlive = false;
    m_now = now;
    if (m_listener != nullptr && m_parser->headComplete() && !m_skipping && !m_interim) {
        m_parser->finish();
        if (m_parser->complete() && m_listener != nullptr) {
            m_socket.close();
            completeResponse(now);
            return;
        }
    }
    m_socket.close();
    reportConnectionLoss(std::make_error_code(std::errc::connection_reset), now);
}

void BackendHttpConnection::onError(std::error_code error, TimePoint now)
{
    m_keepAlive = false;
    reportConnectionLoss(error, now);
}

void BackendHttpConnection::reportConnectionLoss(std::error_code error, TimePoint now)
{
    m_loop.cancel(m_connectTimer);
    BackendResponseListener *listener = m_listener;
    m_listener = nullptr;
    if (listener != nullptr) {
        listener->onConnectionLost(m_socket.connected() ? Delivery::MaybeSent : Delivery::NotSent,
                                   error, now);
    }
}

} // namespace lycheearch
