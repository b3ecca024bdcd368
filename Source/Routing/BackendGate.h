#pragma once

#include <condition_variable>
#include <mutex>
#include <set>

#include "Peer/PeerNetwork.h"
#include "Routing/BackendTable.h"
#include "Routing/ColdGatekeeper.h"
#include "Routing/WaitQueue.h"
#include "State/ConfigStore.h"

namespace lycheearch {

/// Leave to send one request to one server.
struct BackendGrant
{
    BackendTarget target;
    DataCentreId dataCentre;
    std::string permit; ///< Of a server in cold start; else empty.
    InstanceId gatekeeper;
    TimePoint validUntil; ///< The request must be sent before.
};

/// Who waits for a server.
struct GateRequest
{
    BackendNeed need;
    Priority priority = Priority::Normal;
    AccountId account;
    double weight = 1.0;
    TimePoint deadline;
    std::set<InstanceId> excluded;
};

/// Lets requests wait for a backend server in the order of the wait queue, and asks the gatekeeper
/// for servers in cold start.
class BackendGate
{
public:
    BackendGate(BackendTable &table, ColdGatekeeper &gatekeeper, PeerNetwork &network,
                const Roster &roster, const ConfigStore &config, std::size_t capacity,
                const Clock &clock);

    /// Waits for a server. Every failure is not_run: NoBackend, Overloaded or DeadlineExceeded.
    Result<BackendGrant> acquire(const GateRequest &request);
    void release(const BackendGrant &grant, BackendResult result, Duration latency);
    std::size_t waiting() const;

private:
    std::optional<BackendGrant> tryOnce(const GateRequest &request, NoChoice &why);
    std::optional<BackendGrant> withPermit(const BackendChoice &choice);

    BackendTable &m_table;
    ColdGatekeeper &m_gatekeeper;
    PeerNetwork &m_network;
    const Roster &m_roster;
    const ConfigStore &m_config;
    const Clock &m_clock;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    WaitQueue m_queue;
    std::map<InstanceId, TimePoint> m_permitRefusedUntil;
};

} // namespace lycheearch
