#include <criterion/criterion.h>

#include "Routing/WaitQueue.h"

using namespace lycheearch;

namespace {

const AccountId Large("large");
const AccountId Small("small");
const std::string Pool = "p";

} // namespace

Test(waitQueue, interactive_requests_precede_deferrable_ones)
{
    WaitQueue queue(10);
    const Ticket deferrable = queue.add(Pool, Priority::Deferrable, Large, 1);
    const Ticket interactive = queue.add(Pool, Priority::Interactive, Large, 1);
    cr_expect(queue.isNext(interactive));
    cr_expect_not(queue.isNext(deferrable));
    queue.remove(interactive, true);
    cr_expect(queue.isNext(deferrable));
}

Test(waitQueue, a_burst_of_one_account_does_not_starve_another)
{
    WaitQueue queue(100);
    for (int i = 0; i < 20; ++i) {
        queue.remove(queue.add(Pool, Priority::Normal, Large, 1), true);
        queue.remove(queue.add(Pool, Priority::Normal, Small, 1), true);
    }
    for (int i = 0; i < 10; ++i) {
        queue.remove(queue.add(Pool, Priority::Normal, Large, 1), true);
    }
    const Ticket first = queue.add(Pool, Priority::Normal, Large, 1);
    const Ticket second = queue.add(Pool, Priority::Normal, Small, 1);
    cr_expect(queue.isNext(second));
    cr_expect_not(queue.isNext(first));
}

Test(waitQueue, a_full_queue_evicts_the_last_request_and_reports_it)
{
    WaitQueue queue(2);
    const Ticket deferrable = queue.add(Pool, Priority::Deferrable, Large, 1);
    queue.add(Pool, Priority::Interactive, Large, 1);
    queue.add(Pool, Priority::Interactive, Small, 1);
    cr_expect(queue.wasEvicted(deferrable));
    cr_expect_eq(queue.size(), 2);
    const Ticket late = queue.add(Pool, Priority::Deferrable, Large, 1);
    cr_expect(queue.wasEvicted(late));
}

Test(waitQueue, pools_do_not_wait_for_each_other)
{
    WaitQueue queue(10);
    queue.add("other", Priority::Interactive, Large, 1);
    const Ticket ticket = queue.add(Pool, Priority::Deferrable, Small, 1);
    cr_expect(queue.isNext(ticket));
}
