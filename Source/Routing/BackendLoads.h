#pragma once

#include <array>
#include <map>

#include "Base/Ids.h"

namespace lycheearch {

/// Classes of urgency in which work is counted; 0 is the most urgent. Engines admit it first.
constexpr int UrgencyClasses = 3;
using TokensByUrgency = std::array<double, UrgencyClasses>;

/// Load that one or more daemons have put on a backend server.
struct BackendLoadShare
{
    TokensByUrgency tokens{}; ///< Weighed prompt tokens sent without an answer so far.
    int requests = 0; ///< In flight.
    int unreachable = 0; ///< Daemons that find it unreachable.

    bool operator==(const BackendLoadShare &) const = default;
};

/// Load by backend server; those without load are left out.
using BackendLoads = std::map<InstanceId, BackendLoadShare>;

/// Adds \p more to \p sum.
void addLoads(BackendLoads &sum, const BackendLoads &more);
/// Takes \p part out of \p sum; nothing falls below zero.
void subtractLoads(BackendLoads &sum, const BackendLoads &part);

} // namespace lycheearch
