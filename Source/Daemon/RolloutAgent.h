#pragma once

#include <map>
#include <vector>

#include "Base/Ids.h"
#include "Feed/FeedClient.h"
#include "Fleet/FleetFollower.h"
#include "Fleet/FleetStore.h"
#include "Log/StructuredLog.h"
#include "Routing/RolloutController.h"
#include "Routing/RolloutCounts.h"

namespace lycheearch {

/// Runs this daemon's part of the rollouts. Evidence is a daemon's request outcomes by version. A
/// daemon that follows a feed sends its evidence to its feed source. A daemon that reads the store
/// itself adds the evidence of its followers, writes all of it to the store and advances the
/// rollouts. Any such daemon may advance a rollout, so that the failure of one does not stop it:
/// the member with the lowest feed rank acts at once, the others after
/// RolloutController::StandbyDelay, or after less if the state is final, so that usually only one
/// writes. The state of a rollout is appended only if the topic has no newer records, so that no
/// daemon overwrites the state of another. If the store came back from an older copy that lacks a
/// stage or a final state, it is written again.
class RolloutAgent
{
public:
    RolloutAgent(EventLoop &loop, InstanceId self, FleetStore &store, const RecordCodec &codec,
                 const FleetView &view, FleetFollower &follower, FeedClient &feed,
                 RolloutCounts &counts, ExposureLimit exposureLimit, StructuredLog &log);
    ~RolloutAgent();

    void start();
    /// Replaces the stored evidence of a follower.
    void addFollowerEvidence(const FeedEvidence &evidence);

private:
    /// What changes of a rollout: its stage, its state, or both.
    struct Change
    {
        std::optional<RolloutStage> stage;
        std::optional<RolloutState> state;

        /// Whether the other one leads to the same stage and state. The shares of the stage follow
        /// from the present request rate and may differ.
        bool isSameStep(const Change &other) const;
    };

    /// A change that is due, and when this daemon first found it due.
    struct DueChange
    {
        Change change;
        TimePoint since;
    };

    void step(TimePoint now);
    void reportEvidence(TimePoint now);
    void writeEvidence(TimePoint now);
    /// Whether a rollout without a final state is in its last stage.
    bool lastStageUnderWay() const;
    /// Whether this daemon has read the store for long enough to know the evidence of all.
    bool hasEvidenceOfAll() const;
    void advanceRollouts(TimePoint now);
    void advanceRollout(const RolloutOrdered &order, TimePoint now);
    void logEvidence(const RolloutOrdered &order, const RolloutTotals &totals, Duration age,
                     TimePoint now);
    void writeStage(const RolloutStage &stage, TimePoint now);
    void writeState(const RolloutReported &state, TimePoint now);
    /// Until when a change may be sent that was decided on what was read last.
    TimePoint decisionEnd() const;
    /// Logs the store's answer to a state that was decided \p age before.
    void logState(const RolloutReported &state, const StoreOutcome<Offset> &outcome, Duration age,
                  TimePoint now);
    /// Advances the rollouts once more at \p at.
    void advanceLater(TimePoint at);
    /// Delay before this daemon makes a due change: zero for the member with the lowest feed rank.
    /// A final state does not wait long for a daemon that may be paused.
    Duration actionDelay(const Change &change) const;
    /// Number of daemons that usually read the store and have a lower feed rank: the first one of
    /// each other data centre, and all of this one's.
    int placeInOrder() const;
    /// The change of a rollout that is due according to what this daemon knows, if any.
    std::optional<Change> dueChange(const RolloutOrdered &order, const RolloutTotals &totals,
                                    TimePoint now);
    /// Since when this change of the service's rollout is due.
    TimePoint changeDueSince(const ServiceId &service, const Change &change, TimePoint now);
    /// Number of backend servers with the target version that are neither draining nor cold.
    int readyTargets(const RolloutOrdered &order, TimePoint now) const;
    std::optional<RolloutStage> storedStage(const ServiceId &service) const;
    /// Whether the store lost a stage, or a later one of the rollout, that this daemon has read.
    bool stageLost(const RolloutStage &stage) const;
    /// Whether the store lost the state of a rollout that this daemon has read.
    bool stateLost(const RolloutReported &state) const;
    bool storedStateIs(const ServiceId &service, const VersionId &target, RolloutState state) const;

    EventLoop &m_loop;
    InstanceId m_self;
    FleetStore &m_store;
    const RecordCodec &m_codec;
    const FleetView &m_view;
    FleetFollower &m_follower;
    FeedClient &m_feed;
    RolloutCounts &m_counts;
    StructuredLog &m_log;
    RolloutController m_controller;
    std::map<InstanceId, std::vector<RolloutEvidence>> m_evidenceByDaemon;
    std::vector<RolloutEvidence> m_lastReported;
    std::vector<RolloutEvidence> m_lastWritten;
    TimePoint m_lastWriteAt;
    TimePoint m_lastFollowedAt; ///< When this daemon last followed a feed.
    std::map<ServiceId, DueChange> m_dueChanges;
    bool m_writeInFlight = false; ///< A write of a stage or state is in flight.
    TimerId m_timer;
    TimerId m_changeTimer;
};

} // namespace lycheearch
