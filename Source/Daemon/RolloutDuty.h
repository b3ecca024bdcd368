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

/// This daemon's part in rollouts: passes on what it saw, collects what its followers saw, and,
/// while it reads the store itself, moves rollouts on. Any reader may do so; those that stand
/// later in the members' order wait longer, so that mostly one writes. The final state is written
/// on the condition that no other was written before.
class RolloutDuty
{
public:
    RolloutDuty(EventLoop &loop, InstanceId self, FleetStore &store, const RecordCodec &codec,
                const FleetView &view, FleetFollower &follower, FeedClient &feed,
                const RolloutCounts &counts, DecisionLog &log);
    ~RolloutDuty();

    void start();
    /// Evidence of a follower.
    void collect(const FeedEvidence &evidence);

private:
    void step(TimePoint now);
    void shareEvidence(TimePoint now);
    void writeCollected(TimePoint now);
    void direct(TimePoint now);
    void directOne(const RolloutOrdered &order, TimePoint now);
    void writeStage(const RolloutStage &stage, TimePoint now);
    void writeState(const RolloutReported &state, TimePoint now);
    Duration precedence() const;
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
    std::map<ServiceId, TimePoint> m_dueSince; ///< When the next stage was first found due.
    bool m_writing = false;
    TimerId m_timer;
};

} // namespace lycheearch
