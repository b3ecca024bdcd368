#include "Routing/RolloutRule.h"

#include <algorithm>

namespace lycheearch {

double rolloutShare(int stage, double exposeShare)
{
    static constexpr double shares[] = {0.0, 0.05, 0.25, 0.5, 1.0};
    constexpr int firstPart = 3;
    const int index = std::clamp(stage, 0, LastRolloutStage);
    return index == FirstRolloutStage ? std::min(shares[index], exposeShare / firstPart)
                                      : shares[index];
}

VersionRule rolloutRule(const ServiceId &service, std::uint64_t hash, const FleetView &view,
                        double exposeShare)
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
    constexpr std::uint64_t steps = 10'000;
    // The low bits choose among services; these are independent of them.
    constexpr unsigned independentBits = 32;
    const double point = static_cast<double>((hash >> independentBits) % steps) / steps;
    return point < rolloutShare(stage->second.stage, exposeShare) ? onlyTarget : withoutTarget;
}

} // namespace lycheearch
