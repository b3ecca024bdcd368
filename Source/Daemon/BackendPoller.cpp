#include "Daemon/BackendPoller.h"

#include <Poco/Exception.h>

#include "Base/Hash.h"

namespace lycheearch {

BackendPoller::BackendPoller(BackendTable &backends, DataCentreId ownDataCentre, Duration period,
                             Duration timeout, const Clock &clock)
    : m_backends(backends)
    , m_ownDataCentre(std::move(ownDataCentre))
    , m_period(period)
    , m_timeout(timeout)
    , m_clock(clock)
    , m_connections(ThreadCount)
    , m_rounds(ThreadCount, 0)
{
    for (std::size_t shard = 0; shard < ThreadCount; ++shard) {
        m_threads.push_back(std::make_unique<PeriodicThread>(
            "poll " + std::to_string(shard), [this, shard] { return step(shard); }));
    }
}

void BackendPoller::stop()
{
    for (const auto &thread : m_threads) {
        thread->stop();
    }
}

Duration BackendPoller::step(std::size_t shard)
{
    const TimePoint start = m_clock.now();
    const bool remoteRound = m_rounds[shard]++ % PeriodsPerRemotePoll == 0;
    for (const InstanceRecord &backend : m_backends.backendRecords()) {
        const bool inShard = stableHash(backend.id.value()) % ThreadCount == shard;
        const bool due = backend.dataCentre == m_ownDataCentre || remoteRound;
        if (inShard && due) {
            poll(backend, m_connections[shard]);
        }
    }
    return std::max<Duration>(m_period - (m_clock.now() - start), 1ms);
}

void BackendPoller::poll(const InstanceRecord &backend, Connections &connections)
{
    try {
        auto &connection = connections[backend.id];
        if (!connection) {
            connection = std::make_unique<BackendConnection>(backend.address, m_timeout);
            connection->setReceiveTimeout(m_timeout);
        }
        const TimePoint requestedAt = m_clock.now();
        m_backends.report(backend.id, connection->readReport(), requestedAt);
    } catch (const Poco::Exception &) {
        connections.erase(backend.id);
        m_backends.markUnknown(backend.id);
    }
}

} // namespace lycheearch
