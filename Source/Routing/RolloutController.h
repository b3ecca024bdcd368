#pragma once

#include <map>
#include <optional>
#include <vector>

#include "Fleet/FleetView.h"
#include "Routing/RolloutRule.h"

namespace lycheearch {

/// Sum of the evidence that all daemons reported for one rollout.
struct RolloutTotals
{
    VersionCounts target;
    VersionCounts other; ///< All other versions of the service.
    int lowestStage = 0; ///< Lowest stage that a reporting daemon applies; 0 if none reports.
    int daemons = 0; ///< Number of daemons that report.
};

/// Adds up the newest evidence of each daemon: of several copies, the one with the most answers. A
/// daemon that several collectors report is counted once.
RolloutTotals rolloutTotals(const ServiceId &service, const VersionId &target,
                            const std::map<InstanceId, EvidenceCollected> &collected);

/// Whether the outcomes show that the target is worse than the other versions: its failure share is
/// higher by a statistically significant difference, or its mean latency is several times theirs.
bool targetIsBad(const RolloutTotals &totals);

/// Decides when a rollout enters its next stage, completes or is condemned. The target first gets a
/// small share of the requests, the rest in steps in the second half of the rollout's time; from
/// the first stage on, it is condemned if targetIsBad(). This limits the exposure to versions that
/// fail immediately, later, under load or on one route only. In about the last quarter of its time,
/// the rollout completes once every daemon applies the last stage and no request is in flight on
/// the old versions, at the latest shortly before the time ends. If the daemon that decides
/// crashes, another one resumes from the stored stage.
class RolloutController
{
public:
    /// Time that a daemon waits before it acts on a decision, unless it has the lowest feed rank.
    /// If the daemon with the lowest rank has crashed, each stage change may be delayed by this
    /// time.
    static constexpr Duration StandbyDelay = 1s;

    /// The next stage of a rollout that was ordered at \p orderedAt, or std::nullopt if its stage
    /// stays the same. \p current is the stored stage. \p readyTargets is the number of backend
    /// servers with the target version that accept requests.
    std::optional<RolloutStage> decide(const RolloutOrdered &order, TimePoint orderedAt,
                                       const std::optional<RolloutStage> &current,
                                       const RolloutTotals &totals, int readyTargets,
                                       TimePoint now);

private:
    /// The current stage of a rollout, and when this daemon first observed it.
    struct ObservedStage
    {
        VersionId target;
        int stage = -1;
        TimePoint stageSince;
    };

    std::map<ServiceId, ObservedStage> m_observedStages;
};

} // namespace lycheearch
