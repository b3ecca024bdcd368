#pragma once

#include <map>
#include <memory>
#include <vector>

#include "Base/Ids.h"
#include "Forward/BackendHttpConnection.h"

namespace lycheearch {

/// Pools idle connections to backend servers, or to other daemons, for reuse by later requests.
class BackendHttpConnectionPool
{
public:
    BackendHttpConnectionPool(EventLoop &loop, BackendHttpConnection::Limits limits);

    /// Returns a pooled connection that has been idle for less than \p maxIdle and that its server
    /// has not ended and is not about to close, or else a new one. What has arrived on a pooled one
    /// counts even if the event loop has not handled it. Returns null and sets \p error if no
    /// socket can be opened.
    std::unique_ptr<BackendHttpConnection> acquire(const InstanceId &id, const Endpoint &address,
                                                   Duration maxIdle, TimePoint now,
                                                   std::error_code &error);
    /// Maximum idle time of a connection that is reused for a request. If the request can't be
    /// retried, it is short, since the server may be closing a connection that was idle for longer.
    static constexpr Duration maxIdle(bool retryable)
    {
        return retryable ? MaxIdleTime : MaxIdleTimeNonRetryable;
    }
    /// Returns a connection to the pool after a complete response, or closes it if it is not
    /// reusable.
    void release(const InstanceId &id, std::unique_ptr<BackendHttpConnection> connection);
    /// Closes a connection. It may be on the call stack, so it is deleted later.
    void discard(std::unique_ptr<BackendHttpConnection> connection);
    /// Closes the connections that have been idle for too long to be reused, since their server
    /// may close them soon, and all idle connections to servers for which \p shouldKeep returns
    /// false.
    template <typename Predicate>
    void sweep(TimePoint now, Predicate shouldKeep)
    {
        for (auto &[id, connections] : m_idle) {
            const bool keep = shouldKeep(id);
            std::erase_if(connections,
                          [&](const std::unique_ptr<BackendHttpConnection> &connection) {
                              return !keep || !usable(*connection, MaxIdleTime, now);
                          });
        }
        std::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
    }
    /// Number of connections that were opened since the start, including failed ones.
    std::int64_t openedConnections() const { return m_openedCount; }

private:
    static constexpr Duration MaxIdleTime = 30s;
    static constexpr Duration MaxIdleTimeNonRetryable = 1500ms;

    static bool usable(const BackendHttpConnection &connection, Duration maxIdle, TimePoint now);

    EventLoop &m_loop;
    BackendHttpConnection::Limits m_limits;
    /// The connection that was released last is at the end of each vector.
    std::map<InstanceId, std::vector<std::unique_ptr<BackendHttpConnection>>> m_idle;
    std::int64_t m_openedCount = 0;
};

} // namespace lycheearch
