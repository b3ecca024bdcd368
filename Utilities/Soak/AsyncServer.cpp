#include "AsyncServer.h"

#include <stdexcept>

#include <sys/epoll.h>
#include <unistd.h>

#include "Net/Socket.h"

namespace lycheearch::soak {

namespace {

constexpr HttpLimits Limits{64UL * 1024, 8UL * 1024 * 1024};

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
}

void AsyncServer::closeAll()
{
    if (m_listener >= 0) {
        m_loop.unwatch(m_listener);
        ::close(m_listener);
        m_listener = -1;
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
    if (!m_handlingRequest) {
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
        if (!self->m_input.empty()) {
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
