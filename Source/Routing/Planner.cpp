#include "Routing/Planner.h"

#include <algorithm>

namespace lycheearch {

namespace {

constexpr double BoundZScore = 1.64; ///< z-score of a one-sided 95 % confidence bound.
/// Ratings that a version needs in a task class before its statistics are relied on.
constexpr double MinRatings = 30;
constexpr double DefaultTokens = 100; ///< Tokens per answer, for a version without answers.
constexpr double DefaultAcceptanceRate = 0.5; ///< For a version without ratings.
constexpr double DefaultLatencySeconds = 1.0; ///< For a version without answers.

struct CanaryStep
{
    double rated; ///< The step applies below this number of rated answers.
    double share; ///< Fraction of the final share.
};
constexpr CanaryStep CanarySteps[]{{30, 0.02}, {100, 0.10}, {300, 0.50}};

const VersionSpec *strongest(const std::vector<const VersionSpec *> &versions)
{
    const auto weaker = [](const VersionSpec *left, const VersionSpec *right) {
        return left->rank < right->rank;
    };
    const auto found = std::max_element(versions.begin(), versions.end(), weaker);
    return found == versions.end() ? nullptr : *found;
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

const char *planKindName(PlanKind kind)
{
    switch (kind) {
    case PlanKind::Single:
        return "single";
    case PlanKind::Cascade:
        return "cascade";
    case PlanKind::Exploration:
        return "exploration";
    case PlanKind::Canary:
        return "canary";
    case PlanKind::Session:
        return "session";
    case PlanKind::Shortfall:
        return "shortfall";
    }
    return "unknown";
}

Planner::Planner(const VersionStats &stats, const SuspectVersions &suspects)
    : m_stats(stats)
    , m_suspects(suspects)
{
}

double Planner::canaryShare(const VersionSpec &canary, double rated)
{
    for (const CanaryStep &step : CanarySteps) {
        if (rated < step.rated) {
            return canary.share * step.share;
        }
    }
    return canary.share;
}

Planner::Candidate Planner::assess(const VersionSpec &spec, const PlanRequest &request) const
{
    const VersionCount count = m_stats.total(request.taskClass, spec.id);
    Candidate candidate;
    candidate.spec = &spec;
    candidate.hasEnoughRatings = count.rated >= MinRatings;
    candidate.quality = wilsonLowerBound(count.good, count.rated, BoundZScore);
    candidate.acceptanceRate = count.rated > 0 ? count.good / count.rated : DefaultAcceptanceRate;
    const double tokens = count.requests > 0 ? count.tokens / count.requests : DefaultTokens;
    candidate.latencySeconds =
        count.requests > 0 ? count.latencySeconds / count.requests : DefaultLatencySeconds;
    candidate.cost = static_cast<double>(spec.costPerRequest.value())
        + static_cast<double>(spec.costPerToken.value()) * tokens;
    return candidate;
}

std::vector<Planner::Candidate> Planner::candidates(const PlanRequest &request) const
{
    std::vector<Candidate> found;
    const auto model = request.config.manifest->models.find(request.model);
    if (model == request.config.manifest->models.end()) {
        return found;
    }
    for (const VersionSpec &version : model->second.versions) {
        const bool allowed =
            request.account.versions.empty() || request.account.versions.contains(version.id);
        const VersionState state = request.config.stateOf(version.id);
        const bool acceptsRequests = state == VersionState::Active || state == VersionState::Canary;
        if (allowed && acceptsRequests && request.usable.contains(version.id)) {
            found.push_back(assess(version, request));
        }
    }
    return found;
}

Result<Plan> Planner::plan(const PlanRequest &request) const
{
    if (!request.account.models.contains(request.model)) {
        return makeFailure(Errc::AccountForbidsModel,
                           "the account may not use model '" + request.model.value() + "'");
    }
    std::vector<Candidate> all = candidates(request);
    if (all.empty()) {
        return makeFailure(Errc::NoBackend,
                           "no allowed version of '" + request.model.value() + "' is loaded",
                           RunState::NotRun, 1s);
    }
    if (auto canary = canaryPlan(request, all)) {
        return *canary;
    }
    std::vector<Candidate> active;
    for (const Candidate &candidate : all) {
        const bool isCanary = request.config.stateOf(candidate.spec->id) == VersionState::Canary;
        if (!isCanary) {
            active.push_back(candidate);
        }
    }
    if (active.empty()) {
        return makeFailure(Errc::NoBackend,
                           "only canary versions of '" + request.model.value() + "' are loaded",
                           RunState::NotRun, 1s);
    }
    if (auto exploration = explorationPlan(request, active)) {
        return *exploration;
    }
    return cheapestPlan(request, active);
}

std::optional<Plan> Planner::canaryPlan(const PlanRequest &request,
                                        const std::vector<Candidate> &candidates) const
{
    if (!request.ratingHealthy) {
        return std::nullopt;
    }
    double samplePoint = request.samplePoint;
    for (const Candidate &candidate : candidates) {
        if (request.config.stateOf(candidate.spec->id) != VersionState::Canary) {
            continue;
        }
        const double rated = m_stats.total(candidate.spec->id).rated;
        const double share = canaryShare(*candidate.spec, rated);
        if (samplePoint >= share) {
            samplePoint -= share;
            continue;
        }
        Plan plan;
        plan.kind = PlanKind::Canary;
        plan.versions = {candidate.spec->id};
        const auto replaced =
            std::find_if(candidates.begin(), candidates.end(), [&](const Candidate &other) {
                return other.spec->id == candidate.spec->replaces
                    && request.config.stateOf(other.spec->id) == VersionState::Active;
            });
        // Until the canary has enough ratings, answers that are rated bad fall back to the version
        // that it replaces.
        if (!candidate.hasEnoughRatings && !request.inSession && replaced != candidates.end()) {
            plan.versions.push_back(replaced->spec->id);
        }
        plan.options.push_back({plan.versions, candidate.cost, candidate.quality, "chosen"});
        return plan;
    }
    return std::nullopt;
}

std::optional<Plan> Planner::explorationPlan(const PlanRequest &request,
                                             const std::vector<Candidate> &candidates) const
{
    if (request.inSession || !request.ratingHealthy) {
        return std::nullopt;
    }
    // Canaries use the lower end of the sample range, so exploration uses the upper end.
    if (request.samplePoint < 1.0 - request.config.manifest->explorationBudget) {
        return std::nullopt;
    }
    std::vector<const VersionSpec *> specs;
    for (const Candidate &candidate : candidates) {
        specs.push_back(candidate.spec);
    }
    const VersionSpec *best = strongest(specs);
    const Candidate *exploration = nullptr;
    for (const Candidate &candidate : candidates) {
        const bool cheaper = exploration == nullptr || candidate.cost < exploration->cost;
        if (candidate.spec != best && !candidate.hasEnoughRatings && cheaper) {
            exploration = &candidate;
        }
    }
    if (exploration == nullptr) {
        return std::nullopt;
    }
    Plan plan;
    plan.kind = PlanKind::Exploration;
    plan.versions = {exploration->spec->id, best->id};
    plan.options.push_back({plan.versions, exploration->cost, exploration->quality, "chosen"});
    return plan;
}

Plan Planner::cheapestPlan(const PlanRequest &request,
                           const std::vector<Candidate> &candidates) const
{
    const double target = request.config.manifest->qualityTarget;
    const double secondsLeft = seconds(request.timeLeft);
    std::vector<const VersionSpec *> specs;
    for (const Candidate &candidate : candidates) {
        specs.push_back(candidate.spec);
    }
    const VersionSpec *best = strongest(specs);
    Plan plan;
    std::size_t chosen = 0;
    double leastCost = 0;
    const auto addOption = [&](PlanOption option, PlanKind kind, double latency, bool allowed) {
        const bool meetsTarget = option.quality >= target;
        const bool meetsDeadline = latency <= secondsLeft;
        option.verdict = !allowed ? "not possible for this request"
            : !meetsTarget        ? "quality bound below the target"
            : !meetsDeadline      ? "too slow for the deadline"
                                  : "costs more";
        const bool usable = allowed && meetsTarget && meetsDeadline;
        plan.options.push_back(option);
        if (usable && (plan.versions.empty() || option.cost < leastCost)) {
            plan.kind = kind;
            plan.versions = option.versions;
            leastCost = option.cost;
            chosen = plan.options.size() - 1;
        }
    };
    for (const Candidate &primary : candidates) {
        // No better version than the strongest one exists, so it is assumed to meet the target
        // until it has enough ratings.
        const double quality =
            primary.spec == best && !primary.hasEnoughRatings ? target : primary.quality;
        addOption({{primary.spec->id}, primary.cost, quality, ""}, PlanKind::Single,
                  primary.latencySeconds,
                  !(request.ratingHealthy && m_suspects.contains(primary.spec->id)));
        for (const Candidate &other : candidates) {
            if (other.spec->rank <= primary.spec->rank) {
                continue;
            }
            const double rejectionRate = 1.0 - primary.acceptanceRate;
            const double fallbackQuality =
                other.spec == best && !other.hasEnoughRatings ? target : other.quality;
            // Answers that a rating accepts are good; only rejected ones depend on the stronger
            // version's quality.
            const double cascadeQuality = primary.acceptanceRate + rejectionRate * fallbackQuality;
            const bool allowed =
                request.ratingHealthy && !request.inSession && primary.hasEnoughRatings;
            addOption({{primary.spec->id, other.spec->id},
                       primary.cost + rejectionRate * other.cost,
                       cascadeQuality,
                       ""},
                      PlanKind::Cascade,
                      primary.latencySeconds + rejectionRate * other.latencySeconds, allowed);
        }
    }
    if (plan.versions.empty()) {
        plan.kind = PlanKind::Shortfall;
        plan.versions = {best->id};
        plan.options.push_back(
            {plan.versions, 0, 0, "chosen because no option meets the target and the deadline"});
        return plan;
    }
    plan.options[chosen].verdict = "chosen";
    return plan;
}

} // namespace lycheearch
