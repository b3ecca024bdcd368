#pragma once

#include <map>
#include <vector>

#include "Base/Ids.h"
#include "Feed/FeedClient.h"
#include "Fleet/FleetFollower.h"
#include "Fleet/FleetStore.h"
#include "Log/DecisionLog.h"
#include "Routing/RolloutCounts.h"
#include "Routing/RolloutDirector.h"

namespace lycheearch {

/// Runs this daemon's share of rollouts. It reports its request outcomes per version, collects
/// those of its followers and, while it reads the store itself, writes the evidence to the store
/// and advances the rollouts. Any reader may advance a rollout, so that the failure of one does not
/// stop it: the member with the lowest feed rank acts at once, the others after
/// RolloutDirector::SecondDelay, so that usually only one writes. The state of a rollout is
/// appended only if the topic has no newer records, so that no daemon overwrites the state of
/// another.
class RolloutDuty
{
public:
    RolloutDuty(EventLoop &loop, InstanceId self, FleetStore &store, const RecordCodec &codec,
                const FleetView &view, FleetFollower &follower, FeedClient &feed,
                const RolloutCounts &counts, DecisionLog &log);
    ~RolloutDuty();

    void start();
    /// Stores the evidence of a follower, in place of what it reported before.
    void collect(const FeedEvidence &evidence);

private:
    void step(TimePoint now);
    void shareEvidence(TimePoint now);
    void writeCollected(TimePoint now);
    void direct(TimePoint now);
    void directOne(const RolloutOrdered &order, TimePoint now);
    void writeStage(const RolloutStage &stage, TimePoint now);
    void writeState(const RolloutReported &state, TimePoint now);
    /// Delay before this daemon acts on a due change: zero for the first member.
    Duration precedence() const;
    /// Number of backend servers of the target version that take work and are not cold.
    int readyTargets(const RolloutOrdered &order, TimePoint now) const;
    std::optional<RolloutStage> storedStage(const ServiceId &service) const;
    bool stateIs(const ServiceId &service, const VersionId &target, RolloutState state) const;

    EventLoop &m_loop;
    InstanceId m_self;
    FleetStore &m_store;
    const RecordCodec &m_codec;
    const FleetView &m_view;
    FleetFollower &m_follower;
    FeedClient &m_feed;
    const RolloutCounts &m_counts;
    DecisionLog &m_log;
    RolloutDirector m_director;
    std::map<InstanceId, std::vector<RolloutEvidence>> m_collected;
    std::vector<RolloutEvidence> m_lastShared;
    std::vector<RolloutEvidence> m_lastWritten;
    TimePoint m_lastWriteAt;
    std::map<ServiceId, TimePoint> m_dueSince; ///< When this daemon first found a change due.
    bool m_writing = false; ///< A write of a stage or state is in flight.
    TimerId m_timer;
};

} // namespace lycheearch
