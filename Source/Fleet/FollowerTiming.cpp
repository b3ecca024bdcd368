#include "Fleet/FollowerTiming.h"

#include <algorithm>

namespace lycheearch {

namespace {

/// Used where the bounds don't require shorter intervals.
constexpr FollowerTiming DefaultTiming{1500ms, 750ms, 4s, 700ms, 200ms, 1000ms};
/// A read interval is at most its bound divided by this. The rest of the bound is the time for a
/// follower to detect that the reads of its source fail.
constexpr int OperatorBoundDivisor = 3;
constexpr int BackendsBoundDivisor = 4;

} // namespace

FollowerTiming followerTiming(const RouterBounds &bounds)
{
    FollowerTiming timing = DefaultTiming;
    timing.operatorWait =
        std::min(timing.operatorWait, bounds.maxConfigDelay / OperatorBoundDivisor);
    timing.backendsPeriod =
        std::min(timing.backendsPeriod, bounds.maxDrainDelay / BackendsBoundDivisor);
    return timing;
}

} // namespace lycheearch
