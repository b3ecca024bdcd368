#include "Forward/BackendLink.h"

namespace lycheearch {

namespace {

/// Assumed if the server does not declare how long it keeps idle connections.
constexpr Duration DefaultIdleTimeout = 5s;
constexpr int FirstFinalStatus = 200;

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

std::unique_ptr<BackendLink> BackendLink::open(EventLoop &loop, const Endpoint &address,
                                               const Limits &limits, std::error_code &error)
{
    const int fd = connectTcp(address, error);
    if (fd < 0) {
        return nullptr;
    }
    setLiveness(fd, limits.liveness);
    return std::make_unique<BackendLink>(loop, fd, limits);
}

BackendLink::BackendLink(EventLoop &loop, int fd, const Limits &limits)
    : m_loop(loop)
    , m_limits(limits)
    , m_socket(loop, fd, StreamSocket::Start::Connecting, *this)
    , m_serverIdleTimeout(DefaultIdleTimeout)
{
    m_connectTimer = loop.at(loop.now() + limits.connectTimeout, [this](TimePoint now) {
        m_connectTimer = TimerId();
        m_socket.close();
        lose(std::make_error_code(std::errc::timed_out), now);
    });
}

BackendLink::~BackendLink()
{
    m_loop.cancel(m_connectTimer);
}

void BackendLink::send(std::string_view bytes, bool bodyless, BackendLinkListener &listener,
                       TimePoint now)
{
    m_listener = &listener;
    m_bodyless = bodyless;
    m_now = now;
    m_input.clear();
    restartParser();
    m_socket.send(bytes);
}

void BackendLink::abort()
{
    m_listener = nullptr;
    m_loop.cancel(m_connectTimer);
    m_socket.close();
}

bool BackendLink::reusable() const
{
    return m_socket.isOpen() && m_keepAlive && !m_skippedAny && m_socket.queuedBytes() == 0
        && m_input.empty();
}

void BackendLink::onConnected(TimePoint)
{
    m_loop.cancel(m_connectTimer);
}

void BackendLink::onBytes(std::string_view bytes, TimePoint now)
{
    if (m_listener == nullptr) {
        // Data without a pending request is unsolicited: the connection must not be reused.
        m_keepAlive = false;
        m_socket.close();
        return;
    }
    m_input.append(bytes);
    feed(now);
}

void BackendLink::feed(TimePoint now)
{
    m_now = now;
    while (m_listener != nullptr) {
        m_parser->feed(m_input);
        if (m_parser->fault() != HttpFault::None) {
            m_socket.close();
            lose(std::make_error_code(std::errc::protocol_error), now);
            return;
        }
        if (!m_parser->complete()) {
            return;
        }
        if (!m_skipping && !m_interim) {
            completeAnswer(now);
            return;
        }
        restartParser();
        if (m_input.empty()) {
            return;
        }
    }
}

void BackendLink::restartParser()
{
    m_skipping = false;
    m_interim = false;
    m_parser = std::make_unique<HttpResponseParser>(m_limits.http, m_bodyless, *this);
}

void BackendLink::onResponseHead(HttpResponseHead head)
{
    m_interim = head.status < FirstFinalStatus;
    if (m_interim || m_listener == nullptr) {
        return;
    }
    m_keepAlive = head.keepAlive && !head.endsWithConnection();
    if (const auto timeout = keepAliveTimeout(head.fields)) {
        m_serverIdleTimeout = *timeout;
    }
    m_skipping = m_listener->onAnswerHead(head, m_now) == BackendLinkListener::Verdict::Skip;
    m_skippedAny = m_skippedAny || m_skipping;
}

void BackendLink::onResponseBody(std::string_view bytes)
{
    if (m_listener != nullptr && !m_skipping && !m_interim) {
        m_listener->onAnswerBody(bytes, m_now);
    }
}

void BackendLink::completeAnswer(TimePoint now)
{
    BackendLinkListener *listener = m_listener;
    m_listener = nullptr;
    m_idleSince = now;
    ++m_answers;
    listener->onAnswerEnd(now);
}

void BackendLink::onEnd(TimePoint now)
{
    m_keepAlive = false;
    m_now = now;
    if (m_listener != nullptr && m_parser->headComplete() && !m_skipping && !m_interim) {
        m_parser->finish();
        if (m_parser->complete() && m_listener != nullptr) {
            m_socket.close();
            completeAnswer(now);
            return;
        }
    }
    m_socket.close();
    lose(std::make_error_code(std::errc::connection_reset), now);
}

void BackendLink::onError(std::error_code error, TimePoint now)
{
    m_keepAlive = false;
    lose(error, now);
}

void BackendLink::lose(std::error_code error, TimePoint now)
{
    m_loop.cancel(m_connectTimer);
    BackendLinkListener *listener = m_listener;
    m_listener = nullptr;
    if (listener != nullptr) {
        listener->onLinkLost(m_socket.connected() ? Delivery::MaybeSent : Delivery::NotSent, error,
                             now);
    }
}

} // namespace lycheearch
