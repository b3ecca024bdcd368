#pragma once

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "Fleet/FleetView.h"
#include "Routing/RolloutRule.h"

namespace lycheearch {

/// Requests that one daemon counted, and how long after the order it began to count.
struct CountedRequests
{
    std::int64_t requests = 0;
    Duration countedAfter{};
};

/// Sum of the evidence that all daemons reported for one rollout.
struct RolloutTotals
{
    VersionCounts target;
    VersionCounts other; ///< All other versions of the service.
    int lowestStage = 0; ///< Lowest stage that a reporting daemon applies; 0 if none reports.
    int daemons = 0; ///< Number of daemons that report.
    int daemonsAtLastStage = 0; ///< Number of those that apply the last stage.
    /// The daemons that say when they began to count.
    std::vector<CountedRequests> counted;

    /// Requests to all versions.
    std::int64_t sent() const { return target.sent + other.sent; }
    /// Mean requests per second to all versions since an order of this age. Daemons that don't say
    /// when they began to count are taken to get as many as the others.
    double requestRate(Duration age) const;
};

/// Adds up the newest evidence of each daemon: of several copies, the one with the most answers. A
/// daemon that several collectors report is counted once.
RolloutTotals rolloutTotals(const ServiceId &service, const VersionId &target,
                            const std::map<InstanceId, EvidenceCollected> &collected);

/// Largest number of requests that a target may get between the order of its rollout and the
/// deadline.
struct ExposureLimit
{
    double share = 0; ///< Of all requests of the service, from 0 to 1.
    double slack = 0; ///< Requests beyond that share.
};

/// Decides when a rollout enters its next stage, completes or is condemned. Until the last stage,
/// the target gets a small share of the requests. It is condemned as soon as compareVersions()
/// finds it worse, and it does not enter the last stage while it is suspicious.
///
/// A version can be bad in a way that its outcomes don't show, for example only under a load that
/// it has not met. So the last stage, which moves all requests to the target, begins as late as
/// completion in time allows: the target gets no more than the permitted share of all requests
/// between the order and its deadline, whatever the outcomes are. Shortly before the deadline, the
/// rollout completes, or the target is condemned if it is suspicious. If the daemon that decides
/// crashes, another one resumes from the stored stage.
class RolloutController
{
public:
    /// Time that a daemon waits before it acts on a decision, unless it has the lowest feed rank.
    /// If the daemon with the lowest rank has crashed, each stage change may be delayed by this
    /// time.
    static constexpr Duration StandbyDelay = 1s;

    explicit RolloutController(ExposureLimit limit);

    /// The next stage of a rollout that was ordered at \p orderedAt, or std::nullopt if its stage
    /// stays the same. \p current is the stored stage. \p readyTargets is the number of backend
    /// servers with the target version that accept requests.
    std::optional<RolloutStage> decide(const RolloutOrdered &order, TimePoint orderedAt,
                                       const std::optional<RolloutStage> &current,
                                       const RolloutTotals &totals, int readyTargets,
                                       TimePoint now);

private:
    /// Number of requests of all versions at a time.
    struct RequestSample
    {
        TimePoint at;
        std::int64_t requests = 0;
    };

    /// What this daemon observed of a rollout.
    struct Observation
    {
        VersionId target;
        int stage = -1; ///< The current stage.
        TimePoint stageSince; ///< When this daemon first observed it.
        TimePoint changeDueSince; ///< When a change of the stage became due; unset if none is.
        Duration changeDelay{}; ///< From the time a change is due until it is observed.
        std::deque<RequestSample> recent; ///< Oldest first.
    };

    Observation &observe(const RolloutOrdered &order, const RolloutStage &stage,
                         const RolloutTotals &totals, TimePoint now);
    std::optional<RolloutStage> nextStage(const RolloutOrdered &order, TimePoint orderedAt,
                                          RolloutStage stage, const RolloutTotals &totals,
                                          int readyTargets, const Observation &observation,
                                          TimePoint now) const;
    /// Whether a stage before the last one is due.
    static bool earlyStageDue(int stage, const RolloutOrdered &order, Duration elapsed);
    /// Whether the final state must be decided now to be stored in time.
    static bool deadlineNear(const RolloutOrdered &order, Duration elapsed);
    static bool completionDue(const RolloutOrdered &order, const RolloutTotals &totals,
                              Duration elapsed);
    bool lastStageDue(const RolloutOrdered &order, const RolloutTotals &totals, Duration elapsed,
                      const Observation &observation) const;
    /// Time before the deadline from which the target can serve all requests without exceeding its
    /// permitted share.
    Duration permittedLead(const RolloutOrdered &order, const RolloutTotals &totals,
                           Duration elapsed, const Observation &observation) const;

    ExposureLimit m_limit;
    std::map<ServiceId, Observation> m_observations;
};

} // namespace lycheearch
