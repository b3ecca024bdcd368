#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

#include "Adapters/InstanceList.h"
#include "Base/Time.h"
#include "Peer/PeerMessages.h"

namespace lycheearch {

/// A peer of this daemon, according to the instance list and its heartbeats.
struct PeerInfo
{
    InstanceId id;
    DataCentreId dataCentre;
    Endpoint peerAddress;
    StartId startId; ///< Empty until the first heartbeat.
    bool leaving = false;
    std::optional<TimePoint> lastHeartbeatAt;
};

/// Tracks which daemons exist and which of them are alive. Combines the platform's instance list,
/// which is updated with a delay, with heartbeats, which are prompt but cannot distinguish a dead
/// peer from a network partition. Thread-safe.
class Membership
{
public:
    /// A peer counts as alive until the suspicion timeout has passed since its last heartbeat.
    /// \p addressOverrides replace the peer addresses of the instance list, and are the initial
    /// peers.
    Membership(InstanceId self, StartId startId, DataCentreId dataCentre, Duration suspicionTimeout,
               std::map<InstanceId, Endpoint> addressOverrides);

    /// Updates the peers from a new instance list. Returns the daemons that are no longer listed.
    std::vector<InstanceId> updateList(const std::vector<InstanceRecord> &instances);
    /// Records a heartbeat. Adds the sender if the instance list does not have it yet, but not if
    /// it left the list and has not restarted since.
    void recordHeartbeat(const HeartbeatMessage &message, TimePoint now);

    /// Records the end of an exchange of heartbeats with the peers. Without further exchanges, the
    /// silence of a peer grows no more after half the suspicion timeout: this process was paused,
    /// and what its peers sent meanwhile has yet to be read.
    void recordExchange(TimePoint now);

    /// Returns all daemons except this one that are listed or have sent a heartbeat since the list
    /// was read.
    std::vector<PeerInfo> peers() const;
    /// Whether every peer has sent a heartbeat since this daemon started. If so, the membership of
    /// each of them includes this daemon.
    bool hasHeartbeatsFromAllPeers() const;
    /// Returns the sorted identifiers of all daemons, including this one.
    std::vector<InstanceId> memberIds() const;
    /// Returns the sorted identifiers of the daemons that are alive, including this one.
    std::vector<InstanceId> aliveIds(TimePoint now) const;
    /// Like aliveIds(), limited to the data centre of this daemon.
    std::vector<InstanceId> aliveInDataCentre(TimePoint now) const;
    bool isAlive(const InstanceId &member, TimePoint now) const;
    bool isMember(const InstanceId &member) const;
    /// Whether the daemon is alive and has not restarted since it had this start id.
    bool isProcessAlive(const InstanceId &member, const StartId &startId, TimePoint now) const;
    /// Whether the instance list has been read at least once.
    bool hasInstanceList() const;
    /// Returns the oldest of the last heartbeats of the peers in the data centre of this daemon;
    /// peers that are leaving do not count. Returns std::nullopt if one of the peers has never sent
    /// a heartbeat, and \p now if there are no peers.
    std::optional<TimePoint> oldestPeerHeartbeat(TimePoint now) const;

    const InstanceId &self() const { return m_self; }
    const StartId &startId() const { return m_startId; }
    const DataCentreId &dataCentre() const { return m_dataCentre; }

private:
    /// The caller holds m_mutex.
    bool isAliveLocked(const PeerInfo &member, TimePoint now) const;

    InstanceId m_self;
    StartId m_startId;
    DataCentreId m_dataCentre;
    Duration m_suspicionTimeout;
    std::map<InstanceId, Endpoint> m_addressOverrides;
    mutable std::mutex m_mutex;
    std::map<InstanceId, PeerInfo> m_peers;
    /// Daemons that left the instance list, with their last start id. Late heartbeats with that
    /// start id do not add them again.
    std::map<InstanceId, StartId> m_departed;
    bool m_hasInstanceList = false;
    std::optional<TimePoint> m_exchangedAt; ///< Unset before the first exchange.
};

} // namespace lycheearch
