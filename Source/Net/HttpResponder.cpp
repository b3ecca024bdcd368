#include "Net/HttpResponder.h"

#include <algorithm>

#include <sys/epoll.h>
#include <unistd.h>

namespace lycheearch {

namespace {

constexpr HttpLimits PageLimits{8UL * 1024, 64UL * 1024};
constexpr Liveness PageLiveness{5s, 1s, 2, 5s};
/// A connection is closed if it completes no request for this long.
constexpr Duration IdleTimeout = 30s;
constexpr std::size_t MaxConnections = 64;

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
        restart();
    }

    ~Connection() override { m_server.m_loop.cancel(m_timer); }

    void onBytes(std::string_view bytes, TimePoint now) override
    {
        m_input.append(bytes);
        while (!m_input.empty()) {
            m_parser->feed(m_input);
            if (m_parser->parseError() != HttpParseError::None) {
                end();
                return;
            }
            if (!m_parser->complete()) {
                return;
            }
            respond(now);
            if (!m_head.keepAlive) {
                end();
                return;
            }
            restart();
        }
    }

    /// When the last response was sent; before the first one, when the connection was accepted.
    TimePoint idleSince() const { return m_idleSince; }
    void end()
    {
        m_socket.close();
        m_server.remove(*this);
    }

    void onEnd(TimePoint) override { end(); }
    void onError(std::error_code, TimePoint) override { end(); }
    void onRequestHead(HttpRequestHead head) override { m_head = std::move(head); }
    void onRequestBody(std::string_view) override { }

private:
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
        m_socket.send(
            serializeResponseHead(response.status, reasonPhrase(response.status), response.fields)
            + response.body);
    }
    HttpResponder &m_server;
    StreamSocket m_socket;
    std::unique_ptr<HttpRequestParser> m_parser;
    std::string m_input;
    HttpRequestHead m_head;
    TimePoint m_idleSince;
    TimerId m_timer;
};

HttpResponder::HttpResponder(EventLoop &loop, const Endpoint &listen, Handler handler,
                             std::error_code &error)
    : m_loop(loop)
    , m_handler(std::move(handler))
    , m_listener(listenTcp(listen, error))
{
    if (m_listener >= 0) {
        m_loop.watch(m_listener, EPOLLIN, *this);
    }
}

HttpResponder::~HttpResponder()
{
    if (m_listener >= 0) {
        m_loop.unwatch(m_listener);
        close(m_listener);
    }
}

void HttpResponder::onReady(std::uint32_t, TimePoint)
{
    std::error_code error;
    const int fd = acceptTcp(m_listener, error);
    if (fd < 0) {
        return;
    }
    if (m_connections.size() >= MaxConnections) {
        closeLongestIdle();
    }
    auto connection = std::make_shared<Connection>(*this, fd);
    m_connections.emplace(connection.get(), std::move(connection));
}

void HttpResponder::closeLongestIdle()
{
    const auto oldest = std::min_element(
        m_connections.begin(), m_connections.end(), [](const auto &left, const auto &right) {
            return left.second->idleSince() < right.second->idleSince();
        });
    oldest->second->end();
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
