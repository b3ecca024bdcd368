#pragma once

#include <set>
#include <string>
#include <vector>

#include "Base/Error.h"
#include "Config/ConfigState.h"
#include "Routing/SuspectVersions.h"
#include "Routing/VersionStats.h"

namespace lycheearch {

/// Why a plan was chosen.
enum class PlanKind {
    Single, ///< One version that meets the quality target.
    Cascade, ///< A cheap version, then a stronger one if the rating rejects the first answer.
    Exploration, ///< A cascade that starts with a version that has too few ratings.
    Canary, ///< A new request goes to a version that is being rolled out.
    Session, ///< The version to which the session is pinned.
    Shortfall, ///< No plan meets the quality target and the deadline; the strongest version runs.
};
const char *planKindName(PlanKind kind);

/// A plan that was considered.
struct PlanOption
{
    std::vector<VersionId> versions;
    double cost = 0; ///< Expected cost of the request, in the unit of MicroCost.
    double quality = 0; ///< Lower confidence bound of the share of good answers.
    std::string verdict; ///< "chosen", or why it was rejected.
};

/// The versions to run, in order. Each but the last is rated before its answer is used.
struct Plan
{
    PlanKind kind = PlanKind::Shortfall;
    std::vector<VersionId> versions;
    std::vector<PlanOption> options; ///< All plans considered, for the timeline.
};

/// Input of the planner for one request.
struct PlanRequest
{
    const ConfigState &config;
    const AccountSpec &account;
    ModelId model;
    TaskClass taskClass;
    bool inSession = false; ///< A session uses one version, which excludes cascades.
    /// Whether the rating service works. If not, cascades, canaries and exploration are disabled.
    bool ratingHealthy = false;
    Duration timeLeft{}; ///< Until the request's deadline.
    double samplePoint = 0; ///< Uniform in [0, 1); selects requests for canaries and exploration.
    std::set<VersionId> usable; ///< Versions that some backend server has loaded.
};

/// Chooses the plan with the lowest expected cost whose quality bound meets the target and whose
/// expected latency fits the deadline. docs/design/plans.md describes the model.
class Planner
{
public:
    Planner(const VersionStats &stats, const SuspectVersions &suspects);

    /// Fails with AccountForbidsModel, or with NoBackend if no allowed version is loaded or only
    /// canaries are. The request has not run then (RunState::NotRun).
    Result<Plan> plan(const PlanRequest &request) const;

    /// Share of new requests that a canary gets, given the number of its rated answers.
    static double canaryShare(const VersionSpec &canary, double rated);

private:
    struct Candidate
    {
        const VersionSpec *spec = nullptr;
        double cost = 0; ///< Expected cost, in the unit of MicroCost.
        double quality = 0; ///< Lower confidence bound of the share of good answers.
        double acceptanceRate = 0; ///< Expected share of answers that a rating accepts.
        double latencySeconds = 0;
        bool hasEnoughRatings = false; ///< Whether its quality can be relied on.
    };

    Candidate assess(const VersionSpec &spec, const PlanRequest &request) const;
    std::vector<Candidate> candidates(const PlanRequest &request) const;
    std::optional<Plan> canaryPlan(const PlanRequest &request,
                                   const std::vector<Candidate> &candidates) const;
    std::optional<Plan> explorationPlan(const PlanRequest &request,
                                        const std::vector<Candidate> &candidates) const;
    Plan cheapestPlan(const PlanRequest &request, const std::vector<Candidate> &candidates) const;

    const VersionStats &m_stats;
    const SuspectVersions &m_suspects;
};

} // namespace lycheearch
