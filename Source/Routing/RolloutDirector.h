#pragma once

#include <cstdint>

#include "Fleet/FleetView.h"
#include "Routing/BackendPicker.h"

namespace lycheearch {

/// Decides which version of a service serves a request while a rollout is under way.
class RolloutDirector
{
public:
    /// \p hash is the same for all requests of a session, so that a session keeps its version.
    VersionRule rule(const ServiceId &service, std::uint64_t hash, const FleetView &view,
                     TimePoint now) const;
};

} // namespace lycheearch
