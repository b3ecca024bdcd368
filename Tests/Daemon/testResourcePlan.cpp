#include <criterion/criterion.h>

#include "Daemon/ResourcePlan.h"

using namespace lycheearch;

Test(resourcePlan, a_third_of_the_descriptors_is_left_for_servers_the_store_and_files)
{
    for (const std::int64_t descriptors : {256, 1024, 4100, 20'000}) {
        const PortLimits limits = portLimits(descriptors, 1'000'000);
        const std::size_t divided = limits.callers + limits.relay + limits.feed + 2 * limits.pages;
        cr_expect(divided * 3 <= static_cast<std::size_t>(descriptors) * 2, "%zu of %ld", divided,
                  static_cast<long>(descriptors));
    }
}

Test(resourcePlan, connections_are_limited_by_memory_too)
{
    cr_expect_eq(portLimits(1'000'000, 64).callers, 1024);
}

Test(resourcePlan, what_clients_make_the_process_hold_fits_into_three_quarters_of_its_memory)
{
    constexpr std::size_t megabyte = 1024UL * 1024;
    for (const std::int64_t megabytes : {16, 88, 128, 512}) {
        const ClientMemory memory = clientMemory(megabytes);
        const std::size_t sum =
            memory.requestHeads + memory.requestBodies + memory.responses + memory.feed;
        cr_expect(sum * 4 <= static_cast<std::size_t>(megabytes) * megabyte * 3);
    }
}

Test(resourcePlan, the_lower_descriptor_limit_applies)
{
    cr_expect_eq(descriptorLimit(64), 64);
}
