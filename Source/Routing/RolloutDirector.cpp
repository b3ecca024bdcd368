#include "Routing/RolloutDirector.h"

namespace lycheearch {

VersionRule RolloutDirector::rule(const ServiceId &service, std::uint64_t hash,
                                  const FleetView &view, TimePoint now) const
{
    const auto order = view.rollouts().find(service);
    if (order == view.rollouts().end()) {
        return {};
    }
    const auto state = view.rolloutStates().find(service);
    const bool complete = state != view.rolloutStates().end()
        && state->second.target == order->second.target
        && state->second.state == RolloutState::Complete;
    return {complete ? VersionRule::Mode::Only : VersionRule::Mode::Except, order->second.target};
}

} // namespace lycheearch
