#pragma once

#include <map>
#include <optional>
#include <vector>

#include "Fleet/FleetView.h"
#include "Routing/RolloutRule.h"

namespace lycheearch {

/// Evidence of all daemons on one rollout, added up.
struct RolloutTotals
{
    VersionCounts target;
    VersionCounts other;
    int lowestStage = 0; ///< Of the daemons that tell; 0 if none does.
    int daemons = 0;
};

/// Adds up the newest evidence of each daemon.
RolloutTotals rolloutTotals(const ServiceId &service, const VersionId &target,
                            const std::map<InstanceId, EvidenceCollected> &collected);

/// Whether the outcomes prove that the target is worse than the other versions: it fails more
/// often, at a level that chance hardly gives, or takes several times as long.
bool targetIsBad(const RolloutTotals &totals);

/// Decides how a rollout goes on: a few requests first, the rest in the second half of its time,
/// and the end once every daemon has moved and nothing runs on the old versions. Answers to:
/// versions that fail at once, later, under load or on one route only, and directors that are
/// killed in between, since the next one goes on from the stage that is stored.
class RolloutDirector
{
public:
    /// How much longer others than the first wait before they act on a decision. Who is first may
    /// be gone, so that every step may take this long.
    static constexpr Duration SecondDelay = 1s;

    /// The next stage of a rollout that was ordered at \p orderedAt, or nothing if it is to stay
    /// as it is. \p readyTargets is the number of backend servers of the target that may be sent
    /// work.
    std::optional<RolloutStage> decide(const RolloutOrdered &order, TimePoint orderedAt,
                                       const std::optional<RolloutStage> &current,
                                       const RolloutTotals &totals, int readyTargets,
                                       TimePoint now);

private:
    /// When this daemon first saw the present stage of a rollout.
    struct Seen
    {
        VersionId target;
        int stage = -1;
        TimePoint stageAt;
    };

    std::map<ServiceId, Seen> m_seen;
};

} // namespace lycheearch
