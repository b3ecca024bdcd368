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

/// What decides whether a request uses the target of a rollout.
struct RolloutSubject
{
    /// The same for all requests of a session, so that a session keeps its version until a stage
    /// moves it to the target.
    std::uint64_t hash = 0;
    bool inSession = true; ///< False: no other request depends on the version of this one.
};

/// Share of the requests that use a rollout's target in a stage. \p maxUnprovenShare is the largest
/// share of the traffic that an unproven version may get; each stage before the last is limited to
/// a part of it. In the first stages it is smaller for requests in sessions, since sessions that
/// are active when a stage begins change their version; other requests use the canary share from
/// the first stage on, for evidence.
double rolloutShare(const RolloutStage &stage, bool inSession, double maxUnprovenShare);
/// Share of the sessions that use the target in the first stage, for a service with this request
/// rate.
double firstRolloutShare(double requestsPerSecond);
/// Largest share of the sessions that use the target before the last stage, for a service with this
/// request rate and a rollout that must finish within this time.
double canaryShare(double requestsPerSecond, Duration finishWithin, double maxUnprovenShare);
constexpr int FirstRolloutStage = 1;
constexpr int LastRolloutStage = 4;

/// The versions that may serve a request while a rollout is ordered; any version if none is.
///
/// Before the last stage, the target's requests go to as small a part of its servers as their share
/// of the traffic. Each server in use then carries the load that it will carry after the rollout,
/// and a version that fails under this load is found while its exposure is small. The servers in
/// use rotate, so that a single bad server does not decide.
VersionRule rolloutRule(const ServiceId &service, const RolloutSubject &subject,
                        const FleetView &view, double maxUnprovenShare, TimePoint now);

} // namespace lycheearch
