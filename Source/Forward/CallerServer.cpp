#include "Forward/CallerServer.h"

#include <sys/epoll.h>
#include <unistd.h>

#include "Net/Socket.h"

namespace lycheearch {

namespace {

constexpr int MaxAcceptsPerEvent = 64;

} // namespace

CallerServer::CallerServer(ForwardContext &context, RequestOrigin origin, const Endpoint &listen,
                           std::error_code &error)
    : m_context(context)
    , m_origin(origin)
    , m_listener(listenTcp(listen, error))
{
    if (m_listener >= 0) {
        m_context.loop.watch(m_listener, EPOLLIN, *this);
    }
}

CallerServer::~CallerServer()
{
    closeListener();
}

void CallerServer::stopListening()
{
    if (m_listener >= 0) {
        // Connections that were not accepted would be reset.
        onReady(EPOLLIN, m_context.loop.now());
        closeListener();
    }
}

void CallerServer::closeListener()
{
    if (m_listener >= 0) {
        m_context.loop.unwatch(m_listener);
        close(m_listener);
        m_listener = -1;
    }
}

void CallerServer::onReady(std::uint32_t, TimePoint now)
{
    for (int i = 0; i < MaxAcceptsPerEvent; ++i) {
        std::error_code error;
        const int fd = acceptTcp(m_listener, error);
        if (fd < 0) {
            return;
        }
        auto connection = std::make_unique<CallerConnection>(
            m_context, m_origin, fd, m_draining,
            [this](CallerConnection &ended) { onConnectionClosed(ended); }, now);
        m_connections.emplace(connection.get(), std::move(connection));
    }
}

void CallerServer::onConnectionClosed(CallerConnection &connection)
{
    const auto found = m_connections.find(&connection);
    if (found == m_connections.end()) {
        return;
    }
    std::shared_ptr<CallerConnection> closedConnection = std::move(found->second);
    m_connections.erase(found);
    m_context.loop.defer([closedConnection] {});
}

void CallerServer::drain(TimePoint)
{
    m_draining = true;
    for (const auto &[key, connection] : m_connections) {
        connection->drain();
    }
}

void CallerServer::closeIdle(TimePoint now)
{
    for (CallerConnection *connection : allConnections()) {
        connection->closeIfIdle(now);
    }
}

void CallerServer::terminateAll(TimePoint now)
{
    for (CallerConnection *connection : allConnections()) {
        connection->terminate(now);
    }
}

std::vector<CallerConnection *> CallerServer::allConnections() const
{
    std::vector<CallerConnection *> all;
    for (const auto &[key, connection] : m_connections) {
        all.push_back(key);
    }
    return all;
}

} // namespace lycheearch
