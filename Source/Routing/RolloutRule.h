#pragma once

#include <cstdint>

#include "Fleet/FleetView.h"

namespace lycheearch {

/// Which versions of a service may serve a request.
struct VersionRule
{
    enum class Mode { Any, Only, Except };

    Mode mode = Mode::Any;
    VersionId version;

    bool allows(const VersionId &candidate) const
    {
        return mode == Mode::Any || (candidate == version) == (mode == Mode::Only);
    }
};

/// Shares of the traffic that a rollout's target gets, stage by stage.
constexpr double RolloutShares[] = {0.0, 0.05, 0.25, 0.5, 1.0};
constexpr int FirstRolloutStage = 1;
constexpr int LastRolloutStage = 4;

/// The versions that may serve a request while a rollout is ordered. \p hash is the same for all
/// requests of a session, so that a session keeps its version but for the step forward that its
/// share takes.
VersionRule rolloutRule(const ServiceId &service, std::uint64_t hash, const FleetView &view);

} // namespace lycheearch
