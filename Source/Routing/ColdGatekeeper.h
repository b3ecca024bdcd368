#pragma once

#include <map>
#include <mutex>
#include <string>

#include "Peer/PeerMessages.h"
#include "Routing/BackendTable.h"
#include "State/ConfigStore.h"
#include "State/Roster.h"

namespace lycheearch {

/// Gives out permits for backend servers in cold start, so that all daemons together never send
/// one more than it bears. Each server has one gatekeeper among the live daemons of its data
/// centre, by rendezvous hashing. A daemon gives permits only if it has been the gatekeeper for the
/// hold-off and has heard most daemons of its data centre lately, so that a paused or cut off
/// gatekeeper stops before its successor starts. docs/design/cold-start.md has the argument.
/// Safe for use by many threads.
class ColdGatekeeper
{
public:
    /// A permit must be used within this time of asking for it.
    static constexpr Duration PermitValidity = 1s;

    ColdGatekeeper(const Roster &roster, const BackendTable &backends, const ConfigStore &config,
                   Duration holdOff);

    /// The daemon that gives permits for a server, as this one sees it.
    InstanceId gatekeeperOf(const InstanceId &backend, TimePoint now) const;

    /// Gives a permit, or says why not.
    PermitAnswer take(const InstanceId &backend, const StartId &startId, const InstanceId &holder,
                      TimePoint now);
    void giveBack(const InstanceId &backend, const std::string &permit);
    /// Watches when this daemon becomes the gatekeeper of servers. Called regularly.
    void watch(TimePoint now);

private:
    struct Permit
    {
        InstanceId holder;
        TimePoint givenAt;
    };
    struct Gate
    {
        StartId startId;
        std::optional<TimePoint> since; ///< Gatekeeper without a break since then.
        int inherited = 0; ///< Requests of others that were there at the start.
        bool counted = false; ///< Whether the inherited requests are known.
        std::map<std::string, Permit> permits;
    };

    bool mayAct(TimePoint now) const;
    void updateInherited(Gate &gate, const BackendView &view) const;

    const Roster &m_roster;
    const BackendTable &m_backends;
    const ConfigStore &m_config;
    Duration m_holdOff;
    std::mutex m_mutex;
    std::map<InstanceId, Gate> m_gates;
};

} // namespace lycheearch
