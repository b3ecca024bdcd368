#include <criterion/criterion.h>

#include "Feed/FeedTiming.h"
#include "Fleet/FollowerTiming.h"

using namespace lycheearch;

Test(followerTiming, a_follower_detects_failed_reads_of_its_source_within_the_bounds)
{
    // Time from when a read of the source is overdue until its follower reads the store itself,
    // with a reserve for a slow store and the event loop.
    constexpr Duration reserve = 300ms;
    constexpr Duration detectionTime = FeedStalenessLimit + FeedHeartbeatPeriod + reserve;
    for (const Duration bound : {2000ms, 2500ms, 3000ms, 7000ms, 20000ms}) {
        RouterBounds bounds;
        bounds.maxDrainDelay = bound;
        bounds.maxConfigDelay = bound;
        const FollowerTiming timing = followerTiming(bounds);
        cr_expect(timing.operatorWait + detectionTime <= bound);
        cr_expect(timing.backendsPeriod + detectionTime <= bound);
    }
}
