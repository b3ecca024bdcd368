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

/// Share of the sessions that use a rollout's target in a stage. \p maxUnprovenShare is the largest
/// share of the traffic that an unproven version may get; the first stage is limited to a third of
/// it.
double rolloutShare(const RolloutStage &stage, double maxUnprovenShare);
/// Share of the sessions that use the target in the first stage, for a service with this request
/// rate.
double firstRolloutShare(double requestsPerSecond);
constexpr int FirstRolloutStage = 1;
constexpr int LastRolloutStage = 4;

/// The versions that may serve a request while a rollout is ordered; any version if none is.
/// \p sessionHash is the same for all requests of a session, so that a session keeps its version
/// until a stage moves it to the target.
VersionRule rolloutRule(const ServiceId &service, std::uint64_t sessionHash, const FleetView &view,
                        double maxUnprovenShare);

} // namespace lycheearch
