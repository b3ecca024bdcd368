#include "Fleet/FollowerTiming.h"

#include <algorithm>

namespace lycheearch {

namespace {

/// Used where the bounds don't require shorter intervals.
constexpr FollowerTiming DefaultTiming{1500ms, 750ms, 4s, 700ms, 200ms, 1000ms};
/// Divisors of the bounds: the share of a bound that a read may take in normal operation. The rest
/// is left to detect a source whose reads fail.
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
