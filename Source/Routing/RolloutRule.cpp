#include "Routing/RolloutRule.h"

#include <algorithm>

namespace lycheearch {

namespace {

/// Share of the sessions in the first stage at low request rates, and the share at or below which
/// it is not halved any further.
constexpr double MaxFirstShare = 0.05;
constexpr double MinFirstShare = 0.0001;
/// Intended maximum rate of requests for the target in the first stage. It is low, because active
/// sessions may change their version when the stage begins, but high enough for evidence.
constexpr double FirstStageRequestsPerSecond = 1.0;
/// Shares of the sessions in the stages before the last, as parts of the canary share.
constexpr double StageShares[LastRolloutStage] = {0, 1.0, 0.5, 1.0};
/// Limits of the shares of the sessions before the last stage, as parts of the largest share that
/// an unproven version may get. Most of that share is left to the end of the rollout, when all
/// requests move to the target.
constexpr double MaxFirstPart = 1.0 / 3;
constexpr double MaxCanaryPart = 0.85;
/// Canary share if the stage record has none, as a part of that share.
constexpr double DefaultCanaryPart = 0.6;
/// Intended number of requests for the target before the last stage: enough to find a version that
/// fails on one of several routes.
constexpr double CanaryRequests = 60;
/// Fraction of a rollout's time in which these requests are sent.
constexpr double CanaryTimeFraction = 0.4;
/// Time for which the target's requests go to the same servers before the last stage. It is long
/// enough for a server to reach its steady load.
constexpr Duration ServerRotation = 3s;

} // namespace

double rolloutShare(const RolloutStage &stage, bool inSession, double maxUnprovenShare)
{
    if (stage.stage < FirstRolloutStage) {
        return 0;
    }
    if (stage.stage >= LastRolloutStage) {
        return 1;
    }
    const double storedShare =
        stage.canaryShare > 0 ? stage.canaryShare : DefaultCanaryPart * maxUnprovenShare;
    const double canaryShare = std::min(storedShare, MaxCanaryPart * maxUnprovenShare);
    const double firstShare = std::min(stage.firstShare, MaxFirstPart * maxUnprovenShare);
    if (!inSession) {
        return std::max(firstShare, canaryShare);
    }
    if (stage.stage == FirstRolloutStage) {
        return firstShare;
    }
    return std::max(stage.firstShare, StageShares[stage.stage] * canaryShare);
}

double firstRolloutShare(double requestsPerSecond)
{
    // The share is halved repeatedly instead of computed from the rate, so that daemons with
    // slightly different counts get the same share.
    double share = MaxFirstShare;
    while (share * requestsPerSecond > FirstStageRequestsPerSecond && share > MinFirstShare) {
        share /= 2;
    }
    return share;
}

double canaryShare(double requestsPerSecond, Duration finishWithin, double maxUnprovenShare)
{
    const double canarySeconds =
        CanaryTimeFraction * std::chrono::duration<double>(finishWithin).count();
    const double largest = MaxCanaryPart * maxUnprovenShare;
    const double requests = requestsPerSecond * canarySeconds;
    return requests * largest > CanaryRequests ? CanaryRequests / requests : largest;
}

VersionRule rolloutRule(const ServiceId &service, const RolloutSubject &subject,
                        const FleetView &view, double maxUnprovenShare, TimePoint now)
{
    const auto order = view.rollouts().find(service);
    if (order == view.rollouts().end()) {
        return {};
    }
    const VersionId &target = order->second.target;
    const VersionRule onlyTarget{VersionRule::Mode::Only, target};
    const VersionRule withoutTarget{VersionRule::Mode::Except, target};
    const auto state = view.rolloutStates().find(service);
    if (state != view.rolloutStates().end() && state->second.target == target) {
        if (state->second.state == RolloutState::Complete) {
            return onlyTarget;
        }
        if (state->second.state == RolloutState::RolledBack) {
            return withoutTarget;
        }
    }
    const auto stage = view.stages().find(service);
    if (stage == view.stages().end() || stage->second.target != target || stage->second.condemned) {
        return withoutTarget;
    }
    if (stage->second.complete) {
        return onlyTarget;
    }
    constexpr std::uint64_t hashBuckets = 10'000;
    // chooseService() uses a remainder of the hash, which is nearly independent of the high bits,
    // so the share is decided by the high bits.
    constexpr unsigned serviceHashBits = 32;
    const double hashFraction =
        static_cast<double>((subject.hash >> serviceHashBits) % hashBuckets) / hashBuckets;
    const double share = rolloutShare(stage->second, subject.inSession, maxUnprovenShare);
    if (hashFraction >= share) {
        return withoutTarget;
    }
    const Duration age = now - view.orderedAt(service, target).value_or(now);
    VersionRule rule = onlyTarget;
    rule.serverShare = share;
    rule.rotation = static_cast<std::uint64_t>(std::max(age, Duration::zero()) / ServerRotation);
    return rule;
}

} // namespace lycheearch
