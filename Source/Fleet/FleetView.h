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

/// What applying a record changed in the view.
enum class ViewChange {
    None,
    Config,
    Backend,
    BackendRemoval,
    Evacuation,
    Rollout,
    Member,
    PromptPart,
    Stale, ///< Older than the current state; ignored.
    Unreadable, ///< Could not be decoded; ignored.
};

/// State of a backend server according to its reports.
struct BackendState
{
    BackendEntry report;
    TimePoint lastReportAt; ///< When its last report was applied.
    TimePoint coldUntil;
    bool draining = false; ///< Once reported, remains set until the server restarts.
    bool lapsed = false; ///< Its entry expired around a store outage; removed unless renewed.
};

/// One daemon's view of the fleet: configuration, backend servers, members, rollouts and the
/// operator's orders, built from records. Older configurations and reports never replace newer
/// ones. Backend entries that expire around a store outage, when the servers could not report, are
/// kept for a grace period.
class FleetView
{
public:
    /// Time after the end of a store outage in which lapsed entries can be renewed.
    static constexpr Duration LapseGrace = 2200ms;

    /// Applies a record and returns what it changed.
    ViewChange apply(const StoredRecord &stored, TimePoint now);
    /// Removes the backend servers that are missing from \p listed, the ids of a full listing.
    /// During the grace period they are only marked as lapsed. Returns the removed ones.
    std::vector<InstanceId> retainBackends(const std::set<InstanceId> &listed, TimePoint now);
    /// Removes the operator's orders that are missing from a full listing.
    void retainOrders(const std::set<DataCentreId> &evacuations,
                      const std::set<ServiceId> &rollouts);
    /// Starts the grace period for lapsed entries at the end of a store outage.
    void startLapseGrace(TimePoint now) { m_lapseGraceUntil = now + LapseGrace; }
    /// Removes the lapsed entries once the grace period is over. Returns the removed ones.
    std::vector<InstanceId> removeLapsed(TimePoint now);

    /// Routing table of the current configuration; null before the first one.
    std::shared_ptr<const RoutingTable> table() const { return m_table; }
    TimePoint configReadAt() const { return m_configReadAt; }
    const std::map<InstanceId, BackendState> &backends() const { return m_backends; }
    /// State of a backend server, or null if it has no entry.
    const BackendState *backend(const InstanceId &id) const;
    bool evacuated(const DataCentreId &dataCentre) const;
    const std::map<ServiceId, RolloutOrdered> &rollouts() const { return m_rollouts; }
    /// When the rollout order of a service to \p target was first read, by this daemon or by one
    /// that reported the age of the order. std::nullopt if no such order was read.
    std::optional<TimePoint> orderedAt(const ServiceId &service, const VersionId &target) const;
    const std::map<ServiceId, RolloutReported> &rolloutStates() const { return m_rolloutStates; }
    const std::map<ServiceId, RolloutStage> &stages() const { return m_stages; }
    /// Evidence, keyed by the daemon that collected it.
    const std::map<InstanceId, EvidenceCollected> &evidence() const { return m_evidence; }
    const std::map<InstanceId, MemberRegistered> &members() const { return m_members; }

private:
    /// Identifies the last report of a server.
    struct Incarnation
    {
        std::int64_t startedAt = 0;
        std::int64_t sequence = 0;
    };

    /// When a rollout order was first read by any daemon.
    struct OrderFirstSeen
    {
        VersionId target;
        TimePoint at;
    };

    void applyOrderAge(const RolloutOrderAge &order, TimePoint now);
    ViewChange applyConfig(const ConfigPublished &record, TimePoint now);
    ViewChange applyReport(const BackendEntry &report, TimePoint now);
    ViewChange applyRemoval(const InstanceId &id, TimePoint now);
    ViewChange applyStage(const RolloutStage &record);
    ViewChange applyRolloutState(const RolloutReported &record);
    ViewChange applyEvacuation(const EvacuationChanged &record);
    bool isStale(const BackendEntry &report) const;
    void removeBackend(const InstanceId &id);

    std::shared_ptr<const RoutingTable> m_table;
    TimePoint m_configReadAt;
    TimePoint m_lapseGraceUntil;
    std::map<InstanceId, BackendState> m_backends;
    std::map<InstanceId, Incarnation> m_removed; ///< Last reports of removed servers.
    std::set<DataCentreId> m_evacuated;
    std::map<ServiceId, RolloutOrdered> m_rollouts;
    std::map<ServiceId, OrderFirstSeen> m_orderedAt;
    std::map<ServiceId, RolloutReported> m_rolloutStates;
    std::map<ServiceId, RolloutStage> m_stages;
    std::map<InstanceId, EvidenceCollected> m_evidence;
    std::map<InstanceId, MemberRegistered> m_members;
};

} // namespace lycheearch
