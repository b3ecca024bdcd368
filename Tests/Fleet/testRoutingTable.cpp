#include <criterion/criterion.h>

#include "Fleet/RoutingTable.h"

using namespace lycheearch;

namespace {

Route route(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route result;
    result.name = name;
    result.host = host;
    result.pathPrefix = prefix;
    result.services = {{ServiceId("s"), 1}};
    return result;
}

RoutingTable table()
{
    RoutingConfig config;
    config.version = ConfigVersion(7);
    config.routes = {route("short", "h.example", "/a/"), route("long", "h.example", "/a/b/"),
                     route("other", "g.example", "/a/")};
    config.accounts = {{AccountId("one"), {"k1", "k2"}, std::nullopt}};
    return RoutingTable(std::move(config));
}

std::string nameOf(const Route *found)
{
    return found == nullptr ? "" : found->name;
}

} // namespace

Test(routingTable, the_longest_prefix_wins)
{
    const RoutingTable routes = table();
    cr_expect_str_eq(nameOf(routes.route("h.example", "/a/b/c")).c_str(), "long");
    cr_expect_str_eq(nameOf(routes.route("h.example", "/a/bc")).c_str(), "short");
    cr_expect_str_eq(nameOf(routes.route("H.Example:80", "/a/?x=/b/")).c_str(), "short");
    cr_expect_str_eq(nameOf(routes.route("g.example", "/a/b/c")).c_str(), "other");
}

Test(routingTable, an_unmatched_request_has_no_route)
{
    const RoutingTable routes = table();
    cr_expect_null(routes.route("h.example", "/b/"));
    cr_expect_null(routes.route("h.example", "/a"));
    cr_expect_null(routes.route("x.example", "/a/"));
}

Test(routingTable, each_key_maps_to_its_account)
{
    const RoutingTable routes = table();
    cr_assert_not_null(routes.account("k2"));
    cr_expect_str_eq(routes.account("k2")->name.value().c_str(), "one");
    cr_expect_null(routes.account("k3"));
    cr_expect_null(routes.account(""));
}

Test(routingTable, traffic_is_split_by_weight)
{
    Route split = route("split", "h", "/");
    split.services = {{ServiceId("nine"), 90}, {ServiceId("one"), 10}, {ServiceId("none"), 0}};
    int requestsToOne = 0;
    constexpr int Requests = 10'000;
    for (int i = 0; i < Requests; ++i) {
        const ServiceId *service = chooseService(split, static_cast<std::uint64_t>(i) * 7919);
        cr_assert_not_null(service);
        cr_assert(service->value() != "none");
        requestsToOne += service->value() == "one" ? 1 : 0;
    }
    cr_expect(requestsToOne > Requests / 20 && requestsToOne < Requests / 5, "%d", requestsToOne);
}

Test(routingTable, a_route_without_weight_has_no_service)
{
    Route split = route("split", "h", "/");
    split.services = {{ServiceId("none"), 0}};
    cr_expect_null(chooseService(split, 5));
}
