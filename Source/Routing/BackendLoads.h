#pragma once

#include <array>
#include <map>

#include "Base/Ids.h"

namespace lycheearch {

/// Number of urgency classes by which work is counted. Engines admit class 0, the most urgent,
/// first.
constexpr int UrgencyClassCount = 3;
using TokensByUrgency = std::array<double, UrgencyClassCount>;

/// Load that one or more daemons put on a backend server.
struct BackendLoadShare
{
    TokensByUrgency tokens{}; ///< Weighted prefill tokens of requests whose answer has not begun.
    int requests = 0; ///< Requests in flight.
    int unreachable = 0; ///< Daemons that cannot reach the server.
    int leaving = 0; ///< Daemons that the server told that it is about to stop.

    bool operator==(const BackendLoadShare &) const = default;
};

/// Load by backend server; servers without load have no entry.
using BackendLoads = std::map<InstanceId, BackendLoadShare>;

/// Adds \p addend to \p sum.
void addLoads(BackendLoads &sum, const BackendLoads &addend);
/// Subtracts \p subtrahend from \p sum; no value falls below zero.
void subtractLoads(BackendLoads &sum, const BackendLoads &subtrahend);
/// Returns the entries of \p after that differ from \p before, and an entry without load for each
/// server that is only in \p before.
BackendLoads changedLoads(const BackendLoads &before, const BackendLoads &after);
/// Replaces the entries of \p loads that are in \p changes; entries without load end.
void applyChangedLoads(BackendLoads &loads, const BackendLoads &changes);

} // namespace lycheearch
