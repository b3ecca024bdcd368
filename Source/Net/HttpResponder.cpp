#include "Net/HttpResponder.h"

#include <algorithm>

#include <unistd.h>

namespace lycheearch {

namespace {

constexpr HttpLimits PageLimits{8UL * 1024, 64UL * 1024};
constexpr Liveness PageLiveness{5s, 1s, 2, 5s};
/// A connection is closed if it completes no request for this long.
constexpr Duration IdleTimeout = 30s;
/// What is read at a time, and what the kernel holds of a connection that is not read.
constexpr std::size_t ReceiveBytes = 4UL * 1024;
constexpr int ReceiveBufferBytes = 8 * 1024;

} // namespace

/// One client connection.
class HttpResponder::Connection : public StreamSocketListener, public HttpRequestSink
{
public:
    Connection(HttpResponder &server, int fd)
        : m_server(server)
        , m_socket(server.m_loop, fd, StreamSocket::Start::Connected, *this)
    {
        setTcpOptions(fd, PageLiveness);
        m_socket.setReceiveSize(ReceiveBytes);
        restart();
    }

    ~Connection() override { m_server.m_loop.cancel(m_timer); }

    void onBytes(std::string_view bytes, TimePoint now) override
    {
        if (m_ending) {
            return;
        }
        m_input.append(bytes);
        parse(now);
    }

    void onSendQueueEmpty(TimePoint now) override
    {
        if (m_ending) {
            end();
        } else if (m_responding) {
            continueReading(now);
        }
    }

    /// When the last response was sent; before the first one, when the connection was accepted.
    TimePoint idleSince() const { return m_idleSince; }
    void end()
    {
        m_socket.close();
        m_server.remove(*this);
    }

    void onEnd(TimePoint) override { endAfterResponse(); }
    void onError(std::error_code, TimePoint) override { end(); }
    void onRequestHead(HttpRequestHead head) override { m_head = std::move(head); }
    void onRequestBody(std::string_view) override { }
    const char *duty() const override { return "page"; }

private:
    void parse(TimePoint now)
    {
        m_parser->feed(m_input);
        if (m_parser->parseError() != HttpParseError::None) {
            end();
        } else if (m_parser->complete()) {
            respond(now);
        }
    }

    void restart()
    {
        m_parser = std::make_unique<HttpRequestParser>(PageLimits, *this);
        m_server.m_loop.cancel(m_timer);
        m_idleSince = m_server.m_loop.now();
        m_timer = m_server.m_loop.at(m_idleSince + IdleTimeout, [this](TimePoint) {
            m_timer = TimerId();
            end();
        });
    }

    void respond(TimePoint now)
    {
        CompleteHttpResponse response = m_server.m_handler(m_head, now);
        response.fields.set("Content-Length", std::to_string(response.body.size()));
        m_responding = true;
        m_socket.setReading(false);
        m_socket.send(
            serializeResponseHead(response.status, reasonPhrase(response.status), response.fields)
            + response.body);
        if (!m_head.keepAlive) {
            endAfterResponse();
        } else if (m_socket.queuedBytes() == 0) {
            // In another turn of the loop, however many requests have arrived.
            m_server.m_loop.defer(
                [self = m_server.m_connections.at(this)] { self->continueReading(); });
        }
    }

    void continueReading() { continueReading(m_server.m_loop.now()); }
    void continueReading(TimePoint now)
    {
        if (!m_socket.isOpen() || m_ending) {
            return;
        }
        m_responding = false;
        restart();
        m_socket.setReading(true);
        if (!m_input.empty()) {
            parse(now);
        }
    }

    /// Closes the connection once the client has been sent all of the response.
    void endAfterResponse()
    {
        m_ending = true;
        if (m_socket.queuedBytes() == 0) {
            end();
        }
    }

    HttpResponder &m_server;
    StreamSocket m_socket;
    std::unique_ptr<HttpRequestParser> m_parser;
    std::string m_input;
    HttpRequestHead m_head;
    TimePoint m_idleSince;
    TimerId m_timer;
    bool m_responding = false; ///< The client has not taken all of the response.
    bool m_ending = false;
};

HttpResponder::HttpResponder(EventLoop &loop, const PagePort &port, Handler handler,
                             ClientLimitObserver &limitObserver, std::error_code &error)
    : m_loop(loop)
    , m_port(port)
    , m_handler(std::move(handler))
    , m_limitObserver(limitObserver)
    , m_acceptor(
          loop, port.listen, ReceiveBufferBytes,
          [this](int fd, TimePoint now) { onAccepted(fd, now); },
          [this](std::error_code, TimePoint now) { closeLongestIdle("no descriptor left", now); },
          error)
{
}

HttpResponder::~HttpResponder() = default;

void HttpResponder::onAccepted(int fd, TimePoint now)
{
    if (m_connections.size() >= m_port.maxConnections) {
        closeLongestIdle("too many connections", now);
    }
    auto connection = std::make_shared<Connection>(*this, fd);
    m_connections.emplace(connection.get(), std::move(connection));
}

void HttpResponder::closeLongestIdle(const char *why, TimePoint now)
{
    const auto oldest = std::min_element(
        m_connections.begin(), m_connections.end(), [](const auto &left, const auto &right) {
            return left.second->idleSince() < right.second->idleSince();
        });
    if (oldest != m_connections.end()) {
        m_limitObserver.onClientLimit(m_port.name, why, now);
        oldest->second->end();
    }
}

void HttpResponder::remove(Connection &connection)
{
    const auto found = m_connections.find(&connection);
    if (found != m_connections.end()) {
        m_loop.defer([closedConnection = std::move(found->second)] {});
        m_connections.erase(found);
    }
}

} // namespace lycheearch
