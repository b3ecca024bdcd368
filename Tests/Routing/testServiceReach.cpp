#include <criterion/criterion.h>

#include "Routing/PendingCrashes.h"
#include "Routing/ServiceReach.h"

using namespace lycheearch;

namespace {

const ServiceId Desk("desk");
const ServiceId Engines("engines");
const TimePoint Start = TimePoint() + 100s;
constexpr std::uint64_t Account = 1;
constexpr std::uint64_t Content = 2;

InstanceId server(int number)
{
    return InstanceId("s" + std::to_string(number));
}

/// Servers in two data centres.
ServiceReach::Servers serversOf(int count)
{
    ServiceReach::Servers servers;
    for (int i = 0; i < count; ++i) {
        servers.emplace(server(i), DataCentreId(i % 2 == 0 ? "here" : "there"));
    }
    return servers;
}

/// Connections to the first \p failed of \p count servers fail, one after the other.
ServiceReach failing(int failed, int count)
{
    ServiceReach reach;
    for (int i = 0; i < failed; ++i) {
        reach.onConnectFailed(Desk, server(i), serversOf(count), Start + 10ms * i);
    }
    return reach;
}

RequestCrash crashOf(std::uint64_t request, std::uint64_t endedServer)
{
    return {request, endedServer, Account, {}, Duration::zero(), Content};
}

} // namespace

Test(serviceReach, failed_connections_to_several_servers_mean_that_the_service_is_cut_off)
{
    for (const int count : {1, 2, 3, 12, 156}) {
        cr_expect(failing(std::min(count, 4), count).cutOff(Desk), "%d servers", count);
        cr_expect_not(failing(std::min(count, 4), count).cutOff(Engines));
    }
    cr_expect_not(failing(1, 3).cutOff(Desk));
    cr_expect_not(failing(3, 12).cutOff(Desk));
}

Test(serviceReach, a_single_data_centre_that_fails_is_no_cut)
{
    ServiceReach reach;
    for (const int here : {0, 2, 4, 6, 8}) {
        reach.onConnectFailed(Desk, server(here), serversOf(12), Start);
    }
    cr_expect_not(reach.cutOff(Desk));
}

Test(serviceReach, a_server_that_is_reached_in_between_means_that_the_links_work)
{
    ServiceReach reach = failing(3, 12);
    reach.onReached(Desk, server(9), Start + 50ms);
    reach.onConnectFailed(Desk, server(3), serversOf(12), Start + 60ms);
    cr_expect_not(reach.cutOff(Desk));
}

Test(serviceReach, answers_that_were_under_way_do_not_end_a_cut)
{
    ServiceReach reach = failing(4, 12);
    for (int i = 0; i < 4; ++i) {
        reach.onReached(Desk, server(i), Start - 10ms);
    }
    cr_expect(reach.cutOff(Desk));
}

Test(serviceReach, two_servers_that_are_reached_again_end_a_cut)
{
    ServiceReach reach = failing(4, 12);
    cr_expect_not(reach.onReached(Desk, server(1), Start + 5s));
    cr_expect_not(reach.onReached(Desk, server(1), Start + 6s));
    cr_expect(reach.cutOff(Desk));
    cr_expect(reach.onReached(Desk, server(2), Start + 6s));
    cr_expect_not(reach.cutOff(Desk));
}

Test(serviceReach, a_single_server_that_is_reached_again_and_again_ends_a_cut)
{
    ServiceReach reach = failing(3, 3);
    for (int i = 1; i < 4; ++i) {
        cr_expect_not(reach.onReached(Desk, server(1), Start + 1s * i));
    }
    cr_expect(reach.onReached(Desk, server(1), Start + 4s));
}

Test(serviceReach, failures_that_are_far_apart_are_no_cut)
{
    ServiceReach reach;
    for (int i = 0; i < 12; ++i) {
        reach.onConnectFailed(Desk, server(i), serversOf(12), Start + 3s * i);
    }
    cr_expect_not(reach.cutOff(Desk));
}

Test(serviceReach, each_server_is_probed_in_turn)
{
    ServiceReach reach = failing(4, 5);
    std::set<InstanceId> probed;
    for (int i = 0; i < 5; ++i) {
        probed.insert(reach.nextProbe(Desk, serversOf(5)).value_or(InstanceId()));
    }
    cr_expect_eq(probed.size(), 5);
    cr_expect_not(reach.nextProbe(Engines, serversOf(5)));
}

Test(pendingCrashes, a_lost_connection_is_a_crash_once_another_server_is_reached)
{
    CrashTable table;
    ServiceReach reach;
    PendingCrashes pending(table, reach);
    pending.add(Desk, server(0), crashOf(1, 1), Start);
    cr_expect_eq(table.serversEndedUnder(Account, {Content}), 0);
    cr_expect_eq(pending.serversEndedUnder(Account, {Content}), 1);
    reach.onReached(Desk, server(0), Start + 1ms);
    reach.onReached(Engines, server(7), Start - 1ms);
    pending.settle(Start + 2ms);
    cr_expect_eq(table.serversEndedUnder(Account, {Content}), 0);
    reach.onReached(Engines, server(7), Start + 2ms);
    pending.settle(Start + 3ms);
    cr_expect_eq(table.serversEndedUnder(Account, {Content}), 1);
    cr_expect_eq(pending.serversEndedUnder(Account, {Content}), 1);
}

Test(pendingCrashes, connections_lost_with_all_servers_of_all_services_are_no_crashes)
{
    CrashTable table;
    ServiceReach reach = failing(4, 12);
    PendingCrashes pending(table, reach);
    for (std::uint64_t i = 0; i < 4; ++i) {
        pending.add(Desk, server(static_cast<int>(i)), crashOf(i, i), Start);
    }
    pending.settle(Start + 2s);
    cr_expect_eq(pending.serversEndedUnder(Account, {Content}), 0);
}

Test(pendingCrashes, a_request_that_ends_all_servers_of_its_service_is_known_as_the_cause)
{
    CrashTable table;
    ServiceReach reach = failing(3, 3);
    PendingCrashes pending(table, reach);
    InstanceId undecided;
    pending.onUndecided([&](const InstanceId &lost) { undecided = lost; });
    for (std::uint64_t i = 0; i < 3; ++i) {
        pending.add(Desk, server(static_cast<int>(i)), crashOf(i, i), Start);
    }
    cr_expect(undecided == server(2));
    reach.onReached(Engines, InstanceId("engine"), Start + 5ms);
    pending.settle(Start + 6ms);
    cr_expect_eq(table.serversEndedUnder(Account, {Content}), 3);
}

Test(pendingCrashes, a_lost_connection_that_nothing_explains_is_a_crash_after_a_while)
{
    CrashTable table;
    ServiceReach reach;
    PendingCrashes pending(table, reach);
    pending.add(Desk, server(0), crashOf(1, 1), Start);
    pending.settle(Start + 900ms);
    cr_expect_eq(table.serversEndedUnder(Account, {Content}), 0);
    pending.settle(Start + 1100ms);
    cr_expect_eq(table.serversEndedUnder(Account, {Content}), 1);
}
