#include "AsyncServer.h"

#include <stdexcept>
#include <utility>

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Net/Socket.h"

namespace lycheearch::soak {

namespace {

constexpr HttpLimits Limits{64UL * 1024, 8UL * 1024 * 1024};
/// Connections that fill the shortest backlog of a listening socket.
constexpr int ShortestBacklogFill = 4;
constexpr int UsualBacklog = 128;

} // namespace

AsyncServer::AsyncServer(EventLoop &loop, const Endpoint &listen, Handler handler)
    : m_loop(loop)
    , m_endpoint(listen)
    , m_handler(std::move(handler))
{
    open();
}

AsyncServer::~AsyncServer()
{
    closeAll();
}

void AsyncServer::open()
{
    if (m_listener >= 0) {
        return;
    }
    std::error_code error;
    m_listener = listenTcp(m_endpoint, error);
    if (m_listener < 0) {
        throw std::runtime_error("listen on " + m_endpoint.text() + ": " + error.message());
    }
    m_loop.watch(m_listener, EPOLLIN, *this);
    if (m_silent) {
        fillBacklog();
    }
}

void AsyncServer::refuseConnections()
{
    if (m_listener >= 0) {
        m_loop.unwatch(m_listener);
        ::close(m_listener);
        m_listener = -1;
    }
}

void AsyncServer::fallSilent()
{
    m_silent = true;
    if (m_listener >= 0) {
        fillBacklog();
    }
}

void AsyncServer::fillBacklog()
{
    m_loop.unwatch(m_listener);
    ::listen(m_listener, 0);
    for (int i = 0; i < ShortestBacklogFill; ++i) {
        std::error_code error;
        const int fd = connectTcp(m_endpoint, error);
        if (fd >= 0) {
            m_backlogFillers.push_back(fd);
        }
    }
}

void AsyncServer::resume()
{
    if (!m_silent) {
        return;
    }
    m_silent = false;
    for (const int fd : std::exchange(m_backlogFillers, {})) {
        ::close(fd);
    }
    if (m_listener >= 0) {
        ::listen(m_listener, UsualBacklog);
        m_loop.watch(m_listener, EPOLLIN, *this);
    }
    const auto connections = m_connections;
    for (const auto &[key, connection] : connections) {
        connection->resume();
    }
}

void AsyncServer::closeAll()
{
    refuseConnections();
    for (const int fd : std::exchange(m_backlogFillers, {})) {
        ::close(fd);
    }
    const auto connections = m_connections;
    for (const auto &[key, connection] : connections) {
        connection->close();
    }
}

void AsyncServer::onReady(std::uint32_t, TimePoint)
{
    std::error_code error;
    const int fd = acceptTcp(m_listener, error);
    if (fd >= 0) {
        auto connection = std::make_shared<Connection>(*this, fd);
        m_connections.emplace(connection.get(), std::move(connection));
    }
}

AsyncServer::Connection::Connection(AsyncServer &server, int fd)
    : m_server(server)
    , m_socket(server.m_loop, fd, StreamSocket::Start::Connected, *this)
    , m_parser(std::make_unique<HttpRequestParser>(Limits, *this))
{
}

void AsyncServer::Connection::onBytes(std::string_view bytes, TimePoint)
{
    m_input.append(bytes);
    if (!m_handlingRequest && !m_server.m_silent) {
        parse();
    }
}

void AsyncServer::Connection::send(std::string_view bytes)
{
    if (m_server.m_silent) {
        m_heldOutput.append(bytes);
    } else {
        m_socket.send(bytes);
    }
}

void AsyncServer::Connection::resume()
{
    m_socket.send(std::exchange(m_heldOutput, {}));
    if (!m_handlingRequest && !m_input.empty()) {
        parse();
    }
}

void AsyncServer::Connection::parse()
{
    m_parser->feed(m_input);
    if (m_parser->parseError() != HttpParseError::None) {
        close();
    } else if (m_parser->complete()) {
        m_handlingRequest = true;
        m_server.m_handler(shared_from_this(), m_head, m_body);
    }
}

void AsyncServer::Connection::reply(int status, HttpFields fields, std::string_view body)
{
    fields.set("Content-Length", std::to_string(body.size()));
    send(serializeResponseHead(status, reasonPhrase(status), fields) + std::string(body));
    finish();
}

void AsyncServer::Connection::finish()
{
    m_server.m_loop.defer([self = shared_from_this()] {
        if (self->m_closed) {
            return;
        }
        self->m_handlingRequest = false;
        self->m_body.clear();
        self->m_parser = std::make_unique<HttpRequestParser>(Limits, *self);
        if (!self->m_input.empty() && !self->m_server.m_silent) {
            self->parse();
        }
    });
}

void AsyncServer::Connection::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_socket.close();
    if (onClosed) {
        onClosed();
    }
    m_server.m_loop.defer(
        [self = shared_from_this()] { self->m_server.m_connections.erase(self.get()); });
}

} // namespace lycheearch::soak
