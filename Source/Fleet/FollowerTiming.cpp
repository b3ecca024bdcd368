#include "Fleet/FollowerTiming.h"

#include <algorithm>

namespace lycheearch {

namespace {

constexpr FollowerTiming LongestTiming{1500ms, 750ms, 4s, 700ms, 200ms, 1000ms};
/// Parts of a bound that a read may take when nothing is lost.
constexpr int OperatorPart = 3;
constexpr int BackendsPart = 4;

} // namespace

FollowerTiming followerTiming(const RouterBounds &bounds)
{
    FollowerTiming timing = LongestTiming;
    timing.operatorWait = std::min(timing.operatorWait, bounds.configApply / OperatorPart);
    timing.backendsPeriod = std::min(timing.backendsPeriod, bounds.drain / BackendsPart);
    return timing;
}

} // namespace lycheearch
