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

Test(serverNotices, a_rate_limit_holds_for_one_run_until_an_answer_without_it)
{
    ServerNotices notices;
    cr_expect_not(notices.onRateLimit(First, std::nullopt, Start));
    cr_expect(notices.onRateLimit(First, 2.5, Start));
    cr_expect_not(notices.onRateLimit(First, 2.5, Start + 1s));
    cr_expect_eq(notices.rateLimit(First).value_or(0), 2.5);
    cr_expect_not(notices.rateLimit(Restarted));
    cr_expect_not(notices.rateLimit(Other));
    cr_expect(notices.onRateLimit(First, std::nullopt, Start + 2s));
    cr_expect_not(notices.rateLimit(First));
}

Test(serverNotices, the_newest_statement_of_a_server_wins_not_the_last_to_arrive)
{
    ServerNotices notices;
    notices.onRateLimit(First, 3, Start + 10s);
    notices.apply({First, 1, 5s}, Start + 11s);
    cr_expect_eq(notices.rateLimit(First).value_or(0), 3);
    notices.apply({First, 1, 200ms}, Start + 11s);
    cr_expect_eq(notices.rateLimit(First).value_or(0), 1);
    notices.apply({First, std::nullopt, 200ms}, Start + 12s);
    cr_expect_not(notices.rateLimit(First));
}

Test(serverNotices, what_is_told_of_an_earlier_run_does_not_limit_the_present_one)
{
    ServerNotices notices;
    notices.onRateLimit(Restarted, 7, Start);
    notices.apply({First, 1, Duration::zero()}, Start + 1s);
    cr_expect_eq(notices.rateLimit(Restarted).value_or(0), 7);
}

Test(serverNotices, rate_limits_that_this_daemon_was_told_are_published_once_a_second)
{
    ServerNotices notices;
    notices.onRateLimit(First, 2, Start);
    notices.apply({Other, 1, Duration::zero()}, Start);
    const auto first = notices.takeUnpublished(Start + 100ms);
    cr_assert_eq(first.size(), 1);
    cr_expect(first.front() == (LimitsNotice{First, 2, 100ms}));
    notices.onRateLimit(First, 2, Start + 200ms);
    cr_expect(notices.takeUnpublished(Start + 300ms).empty());
    cr_expect_eq(notices.takeUnpublished(Start + 1200ms).size(), 1);
    notices.onRateLimit(First, 1, Start + 1300ms);
    cr_expect_eq(notices.takeUnpublished(Start + 1400ms).size(), 1);
}

Test(serverNotices, brittleness_and_rejections_reach_the_other_daemons_and_end_with_the_run)
{
    ServerNotices told;
    told.onRejected(First, Start);
    cr_expect(told.lastRejection(First) == TimePoint(), "not brittle");
    cr_expect(told.onBrittle(First, 2, Start));
    cr_expect_not(told.onBrittle(First, 2, Start + 10ms));
    told.takeUnpublished(Start + 20ms);
    told.onRejected(First, Start + 100ms);
    const auto news = told.takeUnpublished(Start + 200ms);
    cr_assert_eq(news.size(), 1);
    ServerNotices other;
    other.apply(news.front(), Start + 300ms);
    cr_expect_eq(other.maxRejections(First).value_or(0), 2);
    cr_expect(other.lastRejection(First) == Start + 200ms);
    cr_expect_not(other.maxRejections(Restarted));
    cr_expect(other.onBrittle(First, std::nullopt, Start + 1s));
    cr_expect_not(other.maxRejections(First));
    cr_expect_not(other.onBrittle(First, std::nullopt, Start + 1s));
}
