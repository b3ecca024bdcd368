#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

#include "Base/Time.h"
#include "OwnFormats/InstanceList.h"
#include "Peer/PeerMessages.h"

namespace lycheearch {

/// One other daemon as this one knows it.
struct RosterMember
{
    InstanceId id;
    DataCentreId dataCentre;
    Endpoint peerAddress;
    StartId startId; ///< Empty until it was heard of.
    bool leaving = false;
    std::optional<TimePoint> lastHeard;
};

/// Which daemons exist and which of them were heard of lately. It joins the platform's instance
/// list, which lags, with heartbeats, which are prompt but cannot tell a dead peer from a
/// partition. Safe for use by many threads.
class Roster
{
public:
    Roster(InstanceId self, StartId startId, DataCentreId dataCentre, Duration suspicion,
           std::map<InstanceId, Endpoint> addressOverrides);

    /// Takes a new instance list. Returns the daemons that are no longer listed.
    std::vector<InstanceId> updateList(const std::vector<InstanceRecord> &instances);
    /// Notes a heartbeat. A daemon that is not listed yet becomes a member.
    void heard(const ExchangeMessage &message, TimePoint now);

    /// All daemons but this one that the list holds or that were heard of since.
    std::vector<RosterMember> peers() const;
    /// Whether every peer was heard of since this daemon started, and so knows of it.
    bool heardAll() const;
    /// Identifiers of all members, this one included, in order.
    std::vector<InstanceId> memberIds() const;
    /// Members heard of within the suspicion time, this one included, in order.
    std::vector<InstanceId> aliveIds(TimePoint now) const;
    /// As aliveIds(), only of the own data centre.
    std::vector<InstanceId> aliveInDataCentre(TimePoint now) const;
    bool isAlive(const InstanceId &member, TimePoint now) const;
    bool isMember(const InstanceId &member) const;
    /// Whether the run of a process that is named by its start id is heard of lately.
    bool isRunAlive(const InstanceId &member, const StartId &startId, TimePoint now) const;
    /// Whether the instance list was ever read.
    bool listKnown() const;
    /// Time at which every peer of the own data centre had last been heard of; nothing if one
    /// never was. Without peers it is the present time.
    std::optional<TimePoint> allHeardSince(TimePoint now) const;

    const InstanceId &self() const { return m_self; }
    const StartId &startId() const { return m_startId; }
    const DataCentreId &dataCentre() const { return m_dataCentre; }

private:
    bool aliveLocked(const RosterMember &member, TimePoint now) const;

    InstanceId m_self;
    StartId m_startId;
    DataCentreId m_dataCentre;
    Duration m_suspicion;
    std::map<InstanceId, Endpoint> m_overrides;
    mutable std::mutex m_mutex;
    std::map<InstanceId, RosterMember> m_peers;
    /// Left the list. Heartbeats of the same start do not bring them back.
    std::map<InstanceId, StartId> m_departed;
    bool m_listKnown = false;
};

} // namespace lycheearch
