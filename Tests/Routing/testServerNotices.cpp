#include <criterion/criterion.h>

#include "Routing/ServerNotices.h"

using namespace lycheearch;

namespace {

const TimePoint Start = TimePoint() + 100s;
const ServerRun First{InstanceId("s"), 1000};
const ServerRun Restarted{InstanceId("s"), 2000};
const ServerRun Other{InstanceId("t"), 1000};

} // namespace

Test(serverNotices, a_leaving_server_stays_so_until_it_starts_again)
{
    ServerNotices notices;
    cr_expect(notices.onLeaving(First, Start));
    cr_expect_not(notices.onLeaving(First, Start + 1s));
    notices.prune(Start + 500s);
    cr_expect(notices.leaving(First));
    cr_expect_not(notices.leaving(Restarted));
    cr_expect_not(notices.leaving(Other));
    cr_expect_eq(notices.leavingServers().size(), 1);
}

Test(serverNotices, a_server_that_started_again_may_leave_again)
{
    ServerNotices notices;
    notices.onLeaving(First, Start);
    notices.onPauseRequested(First, 100s, Start);
    cr_expect(notices.onLeaving(Restarted, Start + 10s));
    cr_expect(notices.leaving(Restarted));
    cr_expect_eq(notices.pauseLeft(Restarted, Start + 10s), Duration::zero());
}

Test(serverNotices, a_pause_ends_at_its_time_and_a_shorter_one_does_not_cut_it)
{
    ServerNotices notices;
    notices.onPauseRequested(First, 3s, Start);
    notices.onPauseRequested(First, 500ms, Start + 1s);
    cr_expect_eq(notices.pauseLeft(First, Start + 2s), Duration(1s));
    cr_expect_eq(notices.pauseLeft(First, Start + 3s), Duration::zero());
    cr_expect_eq(notices.pauseLeft(Other, Start + 2s), Duration::zero());
    cr_expect_not(notices.leaving(First));
}

Test(serverNotices, a_pause_of_a_day_is_cut)
{
    ServerNotices notices;
    notices.onPauseRequested(First, 86'400s, Start);
    cr_expect_eq(notices.pauseLeft(First, Start), ServerNotices::LongestPause);
}

Test(serverNotices, old_notices_are_dropped)
{
    ServerNotices notices;
    notices.onLeaving(First, Start);
    notices.prune(Start + 700s);
    cr_expect_not(notices.leaving(First));
    cr_expect(notices.leavingServers().empty());
}
