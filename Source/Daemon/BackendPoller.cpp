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
    , m_connections(Threads)
    , m_round(Threads, 0)
{
    for (std::size_t shard = 0; shard < Threads; ++shard) {
        m_duties.push_back(std::make_unique<DutyThread>("poll " + std::to_string(shard),
                                                        [this, shard] { return step(shard); }));
    }
}

void BackendPoller::stop()
{
    for (const auto &duty : m_duties) {
        duty->stop();
    }
}

Duration BackendPoller::step(std::size_t shard)
{
    const TimePoint start = m_clock.now();
    const bool remoteRound = m_round[shard]++ % RemotePeriods == 0;
    for (const InstanceRecord &backend : m_backends.backendRecords()) {
        const bool mine = stableHash(backend.id.value()) % Threads == shard;
        const bool due = backend.dataCentre == m_ownDataCentre || remoteRound;
        if (mine && due) {
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
        const TimePoint asked = m_clock.now();
        m_backends.report(backend.id, connection->readReport(), asked);
    } catch (const Poco::Exception &) {
        connections.erase(backend.id);
        m_backends.lostTrack(backend.id);
    }
}

} // namespace lycheearch
