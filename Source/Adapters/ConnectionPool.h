#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "Adapters/BackendConnection.h"

namespace lycheearch {

/// Pool of idle connections to backend servers. Before a connection is used, a load report on it
/// shows that the server is live and in the expected state, so that no request is sent on a broken
/// connection or to a restarted server. Thread-safe.
class ConnectionPool
{
public:
    /// For this time after a check, a connection is used without another load report, unless the
    /// target has no start id or allows a cold start. That check may have been for another target.
    static constexpr Duration VerificationLifetime = 50ms;
    static constexpr std::size_t MaxIdlePerBackend = 32;

    ConnectionPool(Duration connectTimeout, const Clock &clock);

    /// Returns an idle or new connection to a server in the state that \p target expects. Fails
    /// with BackendBroken, run state NotRun.
    Result<std::unique_ptr<BackendConnection>> acquire(const BackendTarget &target, TimePoint now);

    /// Puts back a connection whose last response was read to its end. Closes it if
    /// MaxIdlePerBackend connections to the server are idle already.
    void release(const Endpoint &address, std::unique_ptr<BackendConnection> connection);

private:
    std::unique_ptr<BackendConnection> takeIdle(const Endpoint &address);
    /// Closes all idle connections to \p address.
    void closeIdle(const Endpoint &address);
    /// Checks with a load report that the server is in the state that \p target expects.
    Status verifyServerState(BackendConnection &connection, const BackendTarget &target,
                             TimePoint now) const;

    Duration m_connectTimeout;
    const Clock &m_clock;
    std::mutex m_mutex;
    std::map<Endpoint, std::vector<std::unique_ptr<BackendConnection>>> m_idle;
};

} // namespace lycheearch
