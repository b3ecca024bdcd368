#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Fleet/FleetRecord.h"
#include "Fleet/RoutingTable.h"

namespace lycheearch {

/// What a record changed, for the log and for those who follow the view.
enum class ViewChange {
    None,
    Config,
    Backend,
    BackendGone,
    Evacuation,
    Rollout,
    Member,
    Stale, ///< Older than what is known; ignored.
    Unreadable,
};

/// A backend server as this daemon believes it to be.
struct BackendState
{
    BackendEntry report;
    TimePoint heardAt; ///< When its last report was read.
    TimePoint coldUntil;
    bool draining = false;
    bool lapsed = false; ///< Its entry vanished around an outage of the store; it may come back.
};

/// The belief of one daemon about configuration, backend servers and the operator's orders, folded
/// from records. Versions and reports never go back.
class FleetView
{
public:
    /// Time after the store's return in which lapsed entries may come back.
    static constexpr Duration LapseGrace = 2200ms;

    ViewChange apply(const StoredRecord &stored, TimePoint now);
    /// Removes the backend servers that a full listing up to \p listedEnd did not name.
    std::vector<InstanceId> retain(const std::set<InstanceId> &listed, TimePoint now);
    /// Forgets the operator's orders that a full listing did not name.
    void retainOrders(const std::set<DataCentreId> &evacuations,
                      const std::set<ServiceId> &rollouts);
    /// The store answers again after an outage.
    void contactRegained(TimePoint now) { m_lapseGraceUntil = now + LapseGrace; }
    /// Drops lapsed entries whose grace is over. Returns them.
    std::vector<InstanceId> dropLapsed(TimePoint now);

    std::shared_ptr<const RoutingTable> table() const { return m_table; }
    TimePoint configReadAt() const { return m_configReadAt; }
    const std::map<InstanceId, BackendState> &backends() const { return m_backends; }
    const BackendState *backend(const InstanceId &id) const;
    bool evacuated(const DataCentreId &dataCentre) const;
    const std::map<ServiceId, RolloutOrdered> &rollouts() const { return m_rollouts; }
    /// When the order to move a service to \p target was first known, here or to any daemon that
    /// told of it.
    std::optional<TimePoint> orderedAt(const ServiceId &service, const VersionId &target) const;
    const std::map<ServiceId, RolloutReported> &rolloutStates() const { return m_rolloutStates; }
    const std::map<ServiceId, RolloutStage> &stages() const { return m_stages; }
    /// Evidence by the daemon that collected it.
    const std::map<InstanceId, EvidenceCollected> &evidence() const { return m_evidence; }
    const std::map<InstanceId, MemberRegistered> &members() const { return m_members; }

private:
    struct Incarnation
    {
        std::int64_t startedAt = 0;
        std::int64_t sequence = 0;
    };

    /// When an order was known to somebody.
    struct OrderSeen
    {
        VersionId target;
        TimePoint at;
    };

    void noteOrderAge(const RolloutOrderAge &order, TimePoint now);
    ViewChange applyConfig(const ConfigPublished &record, TimePoint now);
    ViewChange applyReport(const BackendEntry &report, TimePoint now);
    ViewChange applyRemoval(const InstanceId &id, TimePoint now);
    ViewChange applyStage(const RolloutStage &record);
    ViewChange applyRolloutState(const RolloutReported &record);
    ViewChange applyEvacuation(const EvacuationChanged &record);
    bool isStale(const BackendEntry &report) const;
    void forget(const InstanceId &id);

    std::shared_ptr<const RoutingTable> m_table;
    TimePoint m_configReadAt;
    TimePoint m_lapseGraceUntil;
    std::map<InstanceId, BackendState> m_backends;
    std::map<InstanceId, Incarnation> m_removed; ///< Last report of those that were removed.
    std::set<DataCentreId> m_evacuated;
    std::map<ServiceId, RolloutOrdered> m_rollouts;
    std::map<ServiceId, OrderSeen> m_orderedAt;
    std::map<ServiceId, RolloutReported> m_rolloutStates;
    std::map<ServiceId, RolloutStage> m_stages;
    std::map<InstanceId, EvidenceCollected> m_evidence;
    std::map<InstanceId, MemberRegistered> m_members;
};

} // namespace lycheearch
