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

} // namespace

double rolloutShare(const RolloutStage &stage, double maxUnprovenShare)
{
    static constexpr double shares[] = {0.0, 0.0, 0.25, 0.5, 1.0};
    constexpr int firstStageDivisor = 3;
    const int index = std::clamp(stage.stage, 0, LastRolloutStage);
    return index == FirstRolloutStage
        ? std::min(stage.firstShare, maxUnprovenShare / firstStageDivisor)
        : shares[index];
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

VersionRule rolloutRule(const ServiceId &service, std::uint64_t sessionHash, const FleetView &view,
                        double maxUnprovenShare)
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
        static_cast<double>((sessionHash >> serviceHashBits) % hashBuckets) / hashBuckets;
    return hashFraction < rolloutShare(stage->second, maxUnprovenShare) ? onlyTarget
                                                                        : withoutTarget;
}

} // namespace lycheearch
