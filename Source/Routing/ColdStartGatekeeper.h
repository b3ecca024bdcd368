#pragma once

#include <map>
#include <mutex>
#include <string>

#include "Peer/PeerMessages.h"
#include "Routing/BackendTable.h"
#include "State/ConfigStore.h"
#include "State/Membership.h"

namespace lycheearch {

/// Issues permits for requests to backend servers in cold start, so that all daemons together never
/// exceed the concurrency limit of such a server. Each server has one gatekeeper among the live
/// daemons of its data centre, by rendezvous hashing. A daemon issues permits only if it has been
/// the gatekeeper for the hold-off time without a break and if the daemons from which it recently
/// received heartbeats are, with itself, a majority of its data centre. So a paused or partitioned
/// gatekeeper stops before its successor starts. See docs/design/cold-start.md for the reasoning.
/// Thread-safe.
class ColdStartGatekeeper
{
public:
    /// A permit must be used within this time after it was requested.
    static constexpr Duration PermitValidity = 1s;

    ColdStartGatekeeper(const Membership &membership, const BackendTable &backends,
                        const ConfigStore &config, Duration holdOff);

    /// The daemon that issues permits for a server, according to this daemon's membership list;
    /// empty if no daemon is alive.
    InstanceId gatekeeperOf(const InstanceId &backend, TimePoint now) const;

    /// Issues a permit to \p holder, or returns an empty one with the reason.
    PermitAnswer issuePermit(const InstanceId &backend, const StartId &startId,
                             const InstanceId &holder, TimePoint now);
    /// Ends a permit; unknown permits are ignored.
    void releasePermit(const InstanceId &backend, const std::string &permit);
    /// Determines for which servers this daemon is the gatekeeper. Must be called periodically.
    void updateAssignments(TimePoint now);

private:
    struct Permit
    {
        InstanceId holder;
        TimePoint issuedAt;
    };
    /// Permits of one server.
    struct GatekeeperState
    {
        StartId startId;
        std::optional<TimePoint> gatekeeperSince; ///< Start of the current period as gatekeeper.
        /// Upper bound of the requests in flight that earlier gatekeepers permitted.
        int inheritedRequests = 0;
        bool inheritedKnown = false; ///< Whether inheritedRequests has been set.
        std::map<std::string, Permit> permits;
    };

    bool hasMajority(TimePoint now) const;
    void updateInheritedRequests(GatekeeperState &state, const BackendView &view) const;

    const Membership &m_membership;
    const BackendTable &m_backends;
    const ConfigStore &m_config;
    Duration m_holdOff;
    std::mutex m_mutex;
    std::map<InstanceId, GatekeeperState> m_states;
};

} // namespace lycheearch
