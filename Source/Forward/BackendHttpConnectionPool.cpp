#include "Forward/BackendHttpConnectionPool.h"

#include <algorithm>

namespace lycheearch {

namespace {

/// Share of the server's idle timeout after which an idle connection is no longer reused, because
/// the server may close it soon.
constexpr double MaxIdleTimeoutShare = 0.6;

} // namespace

BackendHttpConnectionPool::BackendHttpConnectionPool(EventLoop &loop,
                                                     BackendHttpConnection::Limits limits)
    : m_loop(loop)
    , m_limits(limits)
{
}

bool BackendHttpConnectionPool::usable(const BackendHttpConnection &connection, Duration maxIdle,
                                       TimePoint now)
{
    const auto serverLimit =
        std::chrono::duration_cast<Duration>(connection.serverIdleTimeout() * MaxIdleTimeoutShare);
    return connection.reusable() && now - connection.idleSince() < std::min(maxIdle, serverLimit);
}

std::unique_ptr<BackendHttpConnection>
BackendHttpConnectionPool::acquire(const InstanceId &id, const Endpoint &address, Duration maxIdle,
                                   TimePoint now, std::error_code &error)
{
    std::vector<std::unique_ptr<BackendHttpConnection>> &connections = m_idle[id];
    while (!connections.empty()) {
        const BackendHttpConnection &last = *connections.back();
        if (last.reusable() && !usable(last, maxIdle, now)) {
            break;
        }
        std::unique_ptr<BackendHttpConnection> connection = std::move(connections.back());
        connections.pop_back();
        if (connection->reusable() && connection->allArrivedIsRead()) {
            return connection;
        }
        discard(std::move(connection));
    }
    ++m_openedCount;
    return BackendHttpConnection::open(m_loop, address, m_limits, error);
}

void BackendHttpConnectionPool::release(const InstanceId &id,
                                        std::unique_ptr<BackendHttpConnection> connection)
{
    if (connection->reusable()) {
        m_idle[id].push_back(std::move(connection));
    } else {
        discard(std::move(connection));
    }
}

void BackendHttpConnectionPool::discard(std::unique_ptr<BackendHttpConnection> connection)
{
    connection->abort();
    m_loop.defer(
        [closedConnection = std::shared_ptr<BackendHttpConnection>(std::move(connection))] {});
}

} // namespace lycheearch
