#pragma once

#include <map>
#include <memory>
#include <vector>

#include "Adapters/BackendConnection.h"
#include "Base/PeriodicThread.h"
#include "Routing/BackendTable.h"

namespace lycheearch {

/// Polls the load reports of all backend servers on dedicated connections. Servers in this data
/// centre are polled every period, others every PeriodsPerRemotePoll periods. A server that can't
/// be polled is marked as unknown in the backend table. Servers are sharded over the threads by a
/// hash of their id.
class BackendPoller
{
public:
    static constexpr std::size_t ThreadCount = 4;
    static constexpr int PeriodsPerRemotePoll = 3; ///< Periods between polls of other data centres.

    BackendPoller(BackendTable &backends, DataCentreId ownDataCentre, Duration period,
                  Duration timeout, const Clock &clock);
    void stop();

private:
    using Connections = std::map<InstanceId, std::unique_ptr<BackendConnection>>;

    Duration step(std::size_t shard);
    void poll(const InstanceRecord &backend, Connections &connections);

    BackendTable &m_backends;
    DataCentreId m_ownDataCentre;
    Duration m_period;
    Duration m_timeout;
    const Clock &m_clock;
    std::vector<Connections> m_connections; ///< Per shard.
    std::vector<int> m_rounds; ///< Poll rounds so far, per shard.
    std::vector<std::unique_ptr<PeriodicThread>> m_threads;
};

} // namespace lycheearch
