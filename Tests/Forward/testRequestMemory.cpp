#include <criterion/criterion.h>

#include "Forward/RequestMemory.h"

using namespace lycheearch;

namespace {

constexpr std::size_t Kilobyte = 1024;
constexpr std::size_t LimitBytes = 1024 * Kilobyte;
constexpr std::size_t LargeBytes = 128 * Kilobyte;

/// Memory of a megabyte, with times counted from the start of the test.
struct Memory
{
    BodyBudget budget{LimitBytes};
    RequestMemory requests{budget};

    static TimePoint at(Duration time) { return TimePoint(Duration(1000s) + time); }
    bool begin(RequestMemory::HolderId id, std::size_t bytes, Duration time)
    {
        requests.begin(id, at(time));
        return requests.hold(id, bytes);
    }
};

} // namespace

Test(requestMemory, large_requests_leave_a_quarter_to_small_ones)
{
    Memory memory;
    RequestMemory::HolderId id = 1;
    while (memory.begin(id, LargeBytes, 0s)) {
        ++id;
    }
    cr_expect_eq(memory.requests.heldBytes(), 6 * LargeBytes);
    cr_expect(memory.begin(100, RequestMemory::SmallRequestBytes, 0s));
    cr_expect(memory.begin(101, Kilobyte, 0s));
}

Test(requestMemory, a_single_large_request_may_take_more_than_the_part_of_large_ones)
{
    Memory memory;
    cr_expect(memory.begin(1, LimitBytes, 0s));
    cr_expect_not(memory.begin(2, Kilobyte, 0s));
}

Test(requestMemory, the_request_that_is_stalled_longest_gives_up_its_memory)
{
    Memory memory;
    cr_assert(memory.begin(1, 512 * Kilobyte, 0s));
    cr_assert(memory.begin(2, 256 * Kilobyte, 100ms));
    memory.requests.begin(3, memory.at(700ms));
    cr_expect_not(memory.requests.hold(3, LargeBytes));
    cr_expect_eq(memory.requests.candidate(3, LargeBytes, memory.at(700ms)).value_or(0), 1);
    memory.requests.onProgress(1, memory.at(650ms));
    cr_expect_eq(memory.requests.candidate(3, LargeBytes, memory.at(700ms)).value_or(0), 2);
}

Test(requestMemory, a_request_that_arrives_steadily_keeps_its_memory_for_some_time)
{
    Memory memory;
    cr_assert(memory.begin(1, 768 * Kilobyte, 0s));
    memory.requests.begin(2, memory.at(4s));
    memory.requests.onProgress(1, memory.at(4s));
    cr_expect_not(memory.requests.candidate(2, LargeBytes, memory.at(4s)));
    memory.requests.onProgress(1, memory.at(5s));
    cr_expect_eq(memory.requests.candidate(2, LargeBytes, memory.at(5s)).value_or(0), 1);
}

Test(requestMemory, complete_requests_and_the_one_that_asks_give_up_nothing)
{
    Memory memory;
    cr_assert(memory.begin(1, 768 * Kilobyte, 0s));
    memory.requests.onComplete(1);
    cr_assert(memory.begin(2, 64 * Kilobyte, 0s));
    cr_expect_not(memory.requests.hold(2, LargeBytes));
    cr_expect_not(memory.requests.candidate(2, LargeBytes, memory.at(10s)));
    memory.requests.release(1);
    cr_expect(memory.requests.hold(2, LargeBytes));
    memory.requests.release(2);
    cr_expect_eq(memory.requests.heldBytes(), 0);
}

Test(requestMemory, small_requests_do_not_make_room_for_a_large_one)
{
    Memory memory;
    cr_assert(memory.begin(1, 700 * Kilobyte, 0s));
    memory.requests.onComplete(1);
    cr_assert(memory.begin(2, 32 * Kilobyte, 0s));
    memory.requests.begin(3, memory.at(10s));
    cr_expect_not(memory.requests.hold(3, LargeBytes));
    cr_expect_not(memory.requests.candidate(3, LargeBytes, memory.at(10s)));
}
