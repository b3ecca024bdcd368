#include "Adapters/ConnectionPool.h"

#include <Poco/Exception.h>

namespace lycheearch {

ConnectionPool::ConnectionPool(Duration connectTimeout, const Clock &clock)
    : m_connectTimeout(connectTimeout)
    , m_clock(clock)
{
}

Status ConnectionPool::verifyServerState(BackendConnection &connection, const BackendTarget &target,
                                         TimePoint now) const
{
    if (now - connection.verifiedAt() < VerificationLifetime && !target.startId.empty()
        && !target.coldAllowed) {
        return std::nullopt;
    }
    connection.setReceiveTimeout(m_connectTimeout);
    const BackendReport report = connection.readReport();
    if (!target.startId.empty() && report.startId != target.startId) {
        return makeFailure(Errc::BackendBroken,
                           target.instance.value()
                               + " has an unexpected start id: " + report.startId.value());
    }
    if (report.cold && !target.coldAllowed) {
        return makeFailure(Errc::BackendBroken,
                           target.instance.value() + " is in cold start and no permit is held");
    }
    connection.setVerifiedAt(m_clock.now());
    return std::nullopt;
}

Result<std::unique_ptr<BackendConnection>> ConnectionPool::acquire(const BackendTarget &target,
                                                                   TimePoint now)
{
    while (std::unique_ptr<BackendConnection> idle = takeIdle(target.address)) {
        try {
            const Status failure = verifyServerState(*idle, target, now);
            if (failure) {
                return *failure;
            }
            return idle;
        } catch (const Poco::Exception &) {
            // The other idle connections to the server are probably broken as well.
            closeIdle(target.address);
        }
    }
    try {
        auto newConnection = std::make_unique<BackendConnection>(target.address, m_connectTimeout);
        const Status failure = verifyServerState(*newConnection, target, now);
        if (failure) {
            return *failure;
        }
        return newConnection;
    } catch (const Poco::Exception &error) {
        return makeFailure(Errc::BackendBroken,
                           target.instance.value() + ": " + error.displayText());
    }
}

void ConnectionPool::closeIdle(const Endpoint &address)
{
    std::lock_guard lock(m_mutex);
    m_idle.erase(address);
}

std::unique_ptr<BackendConnection> ConnectionPool::takeIdle(const Endpoint &address)
{
    std::lock_guard lock(m_mutex);
    auto &idle = m_idle[address];
    if (idle.empty()) {
        return nullptr;
    }
    std::unique_ptr<BackendConnection> connection = std::move(idle.back());
    idle.pop_back();
    return connection;
}

void ConnectionPool::release(const Endpoint &address, std::unique_ptr<BackendConnection> connection)
{
    std::lock_guard lock(m_mutex);
    auto &idle = m_idle[address];
    if (idle.size() < MaxIdlePerBackend) {
        idle.push_back(std::move(connection));
    }
}

} // namespace lycheearch
