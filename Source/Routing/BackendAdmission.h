#pragma once

#include <condition_variable>
#include <mutex>
#include <set>

#include "Peer/PeerNetwork.h"
#include "Routing/BackendTable.h"
#include "Routing/ColdStartGatekeeper.h"
#include "Routing/WaitQueue.h"
#include "State/ConfigStore.h"

namespace lycheearch {

/// Permission to send one request to one backend server.
struct BackendGrant
{
    BackendTarget target;
    DataCentreId dataCentre;
    std::string permit; ///< Issued by the gatekeeper; empty unless the server is in cold start.
    InstanceId gatekeeper; ///< Daemon that issued the permit; empty without a permit.
    TimePoint validUntil; ///< The request must be sent before this time.
};

/// A request that waits for a backend server.
struct AdmissionRequest
{
    BackendNeed need;
    Priority priority = Priority::Normal;
    AccountId account;
    double weight = 1.0; ///< Share of the account relative to other accounts.
    TimePoint deadline;
    std::set<InstanceId> excluded; ///< Used only if no other server can serve the request.
};

/// Admits requests to backend servers in the order of the wait queue, and requests a permit from
/// the gatekeeper before a server in cold start is used. Handles overload: a full queue evicts the
/// request that would be served last, and a request fails once its deadline passes.
class BackendAdmission
{
public:
    BackendAdmission(BackendTable &table, ColdStartGatekeeper &gatekeeper, PeerNetwork &network,
                     const Membership &membership, const ConfigStore &config, std::size_t capacity,
                     const Clock &clock);

    /// Blocks until a server is granted. Every failure has RunState::NotRun: NoBackend (no server
    /// serves the pool), Overloaded (evicted from the full queue) or DeadlineExceeded.
    Result<BackendGrant> acquire(const AdmissionRequest &request);
    /// Ends a grant: updates the statistics of the server and returns the permit. \p latency counts
    /// only if \p result is Success.
    void release(const BackendGrant &grant, BackendResult result, Duration latency);
    /// Number of queued requests.
    std::size_t queueLength() const;

private:
    std::optional<BackendGrant> tryAcquire(const AdmissionRequest &request, ChoiceFailure &failure);
    std::optional<BackendGrant> acquirePermit(const BackendChoice &choice);

    BackendTable &m_table;
    ColdStartGatekeeper &m_gatekeeper;
    PeerNetwork &m_network;
    const Membership &m_membership;
    const ConfigStore &m_config;
    const Clock &m_clock;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    WaitQueue m_queue;
    std::map<InstanceId, TimePoint> m_permitRefusedUntil;
};

} // namespace lycheearch
