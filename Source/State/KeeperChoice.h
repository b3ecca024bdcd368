#pragma once

#include <string>
#include <vector>

#include "State/Roster.h"

namespace lycheearch {

/// Chooses at most \p count daemons that hold the replicas of records with \p key, by rendezvous
/// hashing over the peers that are alive and not leaving. Prefers peers in different data centres.
/// Never returns this daemon.
std::vector<InstanceId> chooseKeepers(const Roster &roster, const std::string &key,
                                      std::size_t count, TimePoint now);

} // namespace lycheearch
