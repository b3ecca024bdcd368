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

/// Share of the traffic that a rollout's target gets in a stage. \p exposeShare is the most that an
/// unproved version may get; the first stage keeps to a third of it.
double rolloutShare(const RolloutStage &stage, double exposeShare);
/// Share of the sessions that begin on the target in the first stage, for a service with so many
/// requests.
double firstRolloutShare(double requestsPerSecond);
constexpr int FirstRolloutStage = 1;
constexpr int LastRolloutStage = 4;

/// The versions that may serve a request while a rollout is ordered. \p hash is the same for all
/// requests of a session, so that a session keeps its version but for the step forward that its
/// share takes.
VersionRule rolloutRule(const ServiceId &service, std::uint64_t hash, const FleetView &view,
                        double exposeShare);

} // namespace lycheearch
