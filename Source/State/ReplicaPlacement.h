#pragma once

#include <string>
#include <vector>

#include "State/Membership.h"

namespace lycheearch {

/// Chooses at most \p count daemons that hold the replicas of records with \p key, by rendezvous
/// hashing over the peers that are alive and not leaving. Prefers peers in different data centres.
/// Never returns this daemon.
std::vector<InstanceId> chooseReplicaHolders(const Membership &membership, const std::string &key,
                                             std::size_t count, TimePoint now);

} // namespace lycheearch
