#pragma once

#include "Base/Time.h"
#include "Config/RouterSettings.h"

namespace lycheearch {

/// Intervals of the reads of the store.
struct FollowerTiming
{
    Duration operatorWait{}; ///< Long-poll time of a read of the operator's records.
    Duration backendsPeriod{}; ///< Between two reads of the backend servers' reports.
    Duration ownPeriod{}; ///< Between two reads of Topic::Own.
    Duration rolloutPeriod{}; ///< Replaces ownPeriod while a rollout is under way.
    Duration retryDelay{}; ///< After the first failed call; doubles up to retryDelayLimit.
    Duration retryDelayLimit{};
};

/// Returns intervals that need as few calls as the deployment's bounds allow. They leave enough
/// time for a daemon that follows a feed to detect that its source can't read the store, and to
/// read the store itself.
FollowerTiming followerTiming(const RouterBounds &bounds);

} // namespace lycheearch
