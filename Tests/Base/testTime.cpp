#include <criterion/criterion.h>

#include "Base/Time.h"

using namespace lycheearch;

// Guards against leases and views that outlive a suspension of the machine.
Test(systemClock, time_goes_on_while_the_machine_is_suspended)
{
    cr_expect_eq(SystemClock::MonotonicClock, CLOCK_BOOTTIME);
    timespec before{};
    clock_gettime(CLOCK_BOOTTIME, &before);
    const Duration now = SystemClock().now().time_since_epoch();
    timespec after{};
    clock_gettime(CLOCK_BOOTTIME, &after);
    cr_expect_geq(now / Duration(1s), before.tv_sec);
    cr_expect_leq(now / Duration(1s), after.tv_sec);
}
