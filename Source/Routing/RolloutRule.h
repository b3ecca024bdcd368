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
    /// Part of the version's servers that the request may use, from 0 to 1; at least one server.
    /// Which servers these are depends on \p rotation.
    double serverShare = 1;
    std::uint64_t rotation = 0;

    bool allows(const VersionId &candidate) const
    {
        return mode == Mode::Any || (candidate == version) == (mode == Mode::Only);
    }
};

/// Share of the sessions that use a rollout's target in a stage. \p maxUnprovenShare is the largest
/// share of the traffic that an unproven version may get; each stage before the last is limited to
/// a part of it.
double rolloutShare(const RolloutStage &stage, double maxUnprovenShare);
/// Share of the sessions that use the target in the first stage, for a service with this request
/// rate.
double firstRolloutShare(double requestsPerSecond);
/// Largest share of the sessions that use the target before the last stage, for a service with this
/// request rate and a rollout that must finish within this time.
double canaryShare(double requestsPerSecond, Duration finishWithin, double maxUnprovenShare);
constexpr int FirstRolloutStage = 1;
constexpr int LastRolloutStage = 4;

/// The versions that may serve a request while a rollout is ordered; any version if none is.
/// \p sessionHash is the same for all requests of a session, so that a session keeps its version
/// until a stage moves it to the target.
///
/// Before the last stage, the target's requests go to as small a part of its servers as their share
/// of the traffic. Each server in use then carries the load that it will carry after the rollout,
/// and a version that fails under this load is found while its exposure is small. The servers in
/// use rotate, so that a single bad server does not decide.
VersionRule rolloutRule(const ServiceId &service, std::uint64_t sessionHash, const FleetView &view,
                        double maxUnprovenShare, TimePoint now);

} // namespace lycheearch
