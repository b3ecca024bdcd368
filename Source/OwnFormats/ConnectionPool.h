#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "OwnFormats/BackendConnection.h"

namespace lycheearch {

/// Keeps idle connections to backend servers and hands out only such as were proved live and in
/// the expected state within ProofLifetime.
class ConnectionPool
{
public:
    static constexpr Duration ProofLifetime = 50ms;
    static constexpr std::size_t MaxIdlePerBackend = 32;

    ConnectionPool(Duration connectTimeout, const Clock &clock);

    /// A connection on which the server just proved that it is in the state that \p target
    /// expects. A failure's run state is NotRun.
    Result<std::unique_ptr<BackendConnection>> take(const BackendTarget &target, TimePoint now);

    /// Gives back a connection whose last answer was read whole.
    void giveBack(const Endpoint &address, std::unique_ptr<BackendConnection> connection);

private:
    std::unique_ptr<BackendConnection> takeIdle(const Endpoint &address);
    void dropIdle(const Endpoint &address);
    Status prove(BackendConnection &connection, const BackendTarget &target, TimePoint now) const;

    Duration m_connectTimeout;
    const Clock &m_clock;
    std::mutex m_mutex;
    std::map<Endpoint, std::vector<std::unique_ptr<BackendConnection>>> m_idle;
};

} // namespace lycheearch
