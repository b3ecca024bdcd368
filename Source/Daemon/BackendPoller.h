#pragma once

#include <map>
#include <memory>
#include <vector>

#include "Base/DutyThread.h"
#include "OwnFormats/BackendConnection.h"
#include "Routing/BackendTable.h"

namespace lycheearch {

/// Asks backend servers for their reports, on connections of its own: those of the own data centre
/// every period, the others less often.
class BackendPoller
{
public:
    static constexpr std::size_t Threads = 4;
    static constexpr int RemotePeriods = 3; ///< Periods between reports of another data centre.

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
    std::vector<Connections> m_connections; ///< By shard.
    std::vector<int> m_round; ///< By shard.
    std::vector<std::unique_ptr<DutyThread>> m_duties;
};

} // namespace lycheearch
