#pragma once

#include <set>
#include <string>
#include <vector>

#include "Base/Error.h"
#include "Config/ConfigState.h"
#include "Routing/SuspectVersions.h"
#include "Routing/VersionStats.h"

namespace lycheearch {

/// Why a plan was made as it is.
enum class PlanKind {
    Single, ///< One version that meets the quality target.
    Cascade, ///< A cheap version, rated, then a stronger one if it was not good enough.
    Exploration, ///< A cascade that starts with a version of which too little is known.
    Canary, ///< New work for a version in roll-out.
    Session, ///< The version that the session has.
    Shortfall, ///< No plan meets the target; the best known one is used.
};
const char *planKindName(PlanKind kind);

/// One way that was weighed.
struct PlanOption
{
    std::vector<VersionId> versions;
    double cost = 0; ///< Expected, in millionths.
    double quality = 0; ///< Lower bound of the share of good answers.
    std::string verdict; ///< "chosen" or why not.
};

/// The versions to run, in order. Each but the last is rated before its answer is used.
struct Plan
{
    PlanKind kind = PlanKind::Shortfall;
    std::vector<VersionId> versions;
    std::vector<PlanOption> options; ///< All ways weighed, for the time line.
};

/// What a plan is made for.
struct PlanRequest
{
    const ConfigState &config;
    const AccountSpec &account;
    ModelId model;
    TaskClass taskClass;
    bool keepsSession = false; ///< A session needs one version, so no cascade.
    bool ratingHealthy = false; ///< Without ratings there are no cascades, canaries or trials.
    Duration timeLeft{};
    double lot = 0; ///< Uniform in 0 to 1, decides on trials and canaries.
    std::set<VersionId> usable; ///< Versions that some backend server has loaded.
};

/// Chooses the plan of least expected cost whose quality bound meets the target and whose expected
/// latency fits the deadline. docs/design/plans.md has the model.
class Planner
{
public:
    Planner(const VersionStats &stats, const SuspectVersions &suspects);

    /// Fails with AccountForbidsModel, NoBackend or VersionWithdrawn. The failure is not_run.
    Result<Plan> plan(const PlanRequest &request) const;

    /// Share of new work that a canary gets, given how many of its answers were rated.
    static double canaryShare(const VersionSpec &canary, double rated);

private:
    struct Candidate
    {
        const VersionSpec *spec = nullptr;
        double cost = 0;
        double quality = 0; ///< Lower bound.
        double accepted = 0; ///< Expected share of answers that a rating accepts.
        double latencySeconds = 0;
        bool known = false; ///< Enough ratings to rely on.
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
