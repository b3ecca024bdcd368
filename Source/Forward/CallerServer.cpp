#include "Forward/CallerServer.h"

#include <unistd.h>

namespace lycheearch {

namespace {

/// Receive buffer of a connection: the head of a request arrives in a few parts. The kernel holds
/// so much of each connection that is not read.
constexpr int ReceiveBufferBytes = 8 * 1024;

} // namespace

CallerServer::CallerServer(ForwardContext &context, RequestOrigin origin, const Endpoint &listen,
                           std::size_t maxConnections, std::error_code &error)
    : m_context(context)
    , m_origin(origin)
    , m_maxConnections(maxConnections)
    , m_acceptor(
          context.loop, listen, ReceiveBufferBytes,
          [this](int fd, TimePoint now) { onAccepted(fd, now); },
          [this](std::error_code failure, TimePoint now) { onAcceptFailed(failure, now); }, error)
{
}

CallerServer::~CallerServer() = default;

void CallerServer::stopListening()
{
    m_acceptor.close();
}

void CallerServer::onAccepted(int fd, TimePoint now)
{
    if (m_connections.size() >= m_maxConnections && !closeOne("too many connections", now)) {
        m_context.limitObserver.onClientLimit(portName(m_origin), "too many requests in service",
                                              now);
        close(fd);
        return;
    }
    auto connection = std::make_unique<CallerConnection>(
        m_context, m_origin, fd, m_draining,
        [this](CallerConnection &ended) { onConnectionClosed(ended); }, now);
    m_connections.emplace(connection.get(), std::move(connection));
}

void CallerServer::onAcceptFailed(std::error_code, TimePoint now)
{
    m_context.limitObserver.onClientLimit(portName(m_origin), "no descriptor left", now);
    closeOne("no descriptor left", now);
}

bool CallerServer::closeOne(const char *why, TimePoint now)
{
    using Dispensability = CallerConnection::Dispensability;
    CallerConnection *best = nullptr;
    Dispensability bestRank = Dispensability::Never;
    for (const auto &[key, connection] : m_connections) {
        const Dispensability rank = connection->dispensability(now);
        const bool better = rank != bestRank
            ? rank > bestRank
            : best != nullptr && connection->dispensableSince() < best->dispensableSince();
        if (better) {
            best = key;
            bestRank = rank;
        }
    }
    if (best == nullptr) {
        return false;
    }
    m_context.limitObserver.onClientLimit(portName(m_origin), why, now);
    best->closeForRoom(now);
    return true;
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
