#pragma once

#include "Base/Time.h"
#include "Config/RouterSettings.h"

namespace lycheearch {

/// How often the store is asked.
struct FollowerTiming
{
    Duration operatorWait{}; ///< How long the store holds a read of the operator's records.
    Duration backendsPeriod{}; ///< Between two reads of the backend servers' reports.
    Duration ownPeriod{}; ///< Between two reads of our own records.
    Duration rolloutPeriod{}; ///< The same while a rollout is under way.
    Duration retryDelay{}; ///< After the first failed call; doubles up to the limit below.
    Duration retryDelayLimit{};
};

/// As few calls as the deployment's bounds allow: a daemon that follows another one must notice in
/// time that the other one's reads are lost, and read for itself.
FollowerTiming followerTiming(const RouterBounds &bounds);

} // namespace lycheearch
