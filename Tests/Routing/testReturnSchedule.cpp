#include <criterion/criterion.h>

#include <map>

#include "Routing/ReturnSchedule.h"

using namespace lycheearch;

namespace {

const TimePoint Start = TimePoint() + 100s;
const ServiceId Desk("desk");

} // namespace

Test(returnSchedule, callers_who_are_refused_together_come_back_at_the_rate_of_the_room)
{
    ReturnSchedule schedule;
    std::map<std::int64_t, int> returnsBySecond;
    for (int i = 0; i < 30; ++i) {
        const Duration delay = schedule.next(Desk, 4, Start);
        ++returnsBySecond[delay / Duration(1s)];
    }
    for (const auto &[second, returns] : returnsBySecond) {
        cr_expect(returns <= 4, "%d callers come back in second %ld", returns,
                  static_cast<long>(second));
    }
}

Test(returnSchedule, places_are_free_again_when_their_time_has_passed)
{
    ReturnSchedule schedule;
    for (int i = 0; i < 8; ++i) {
        schedule.next(Desk, 4, Start);
    }
    cr_expect_eq(schedule.next(Desk, 4, Start + 10s), Duration(250ms));
    cr_expect_eq(schedule.next(ServiceId("other"), 4, Start), Duration(250ms));
}

Test(returnSchedule, nobody_is_told_more_than_the_longest_delay)
{
    ReturnSchedule schedule;
    for (int i = 0; i < 1000; ++i) {
        cr_expect_leq(schedule.next(Desk, 1e-9, Start), ReturnSchedule::LongestDelay);
    }
}
