#pragma once

#include <string>
#include <vector>

#include "State/Roster.h"

namespace lycheearch {

/// The daemons that hold copies for \p key: the best by rendezvous hashing, at most \p count,
/// never this one, in different data centres where there are any, and alive before suspected.
std::vector<InstanceId> chooseKeepers(const Roster &roster, const std::string &key,
                                      std::size_t count, TimePoint now);

} // namespace lycheearch
