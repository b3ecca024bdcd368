#include <criterion/criterion.h>

#include <algorithm>

#include "Feed/FeedOrder.h"
#include "Feed/FeedSourceSelector.h"

using namespace lycheearch;

namespace {

constexpr std::int64_t WallMs = 1'000'000;
constexpr bool StaleView = true;

/// Members of two data centres; those of the first in the feed order.
struct Members
{
    explicit Members(int size)
    {
        for (int i = 0; i < size; ++i) {
            add("here-" + std::to_string(i), "here");
            add("there-" + std::to_string(i), "there");
        }
        order = feedOrder(all, DataCentreId("here"), WallMs);
    }

    void add(const std::string &name, const std::string &dataCentre)
    {
        all[InstanceId(name)] = {
            InstanceId(name), DataCentreId(dataCentre), {"127.0.0.1", 1}, WallMs};
    }

    FeedSourceSelector selectorOf(std::size_t rank) const
    {
        return {order.at(rank).instance, DataCentreId("here")};
    }

    std::map<InstanceId, MemberRegistered> all;
    std::vector<MemberRegistered> order;
};

} // namespace

Test(feedSourceSelector, the_first_member_has_a_source_only_while_its_view_is_stale)
{
    const Members members(3);
    FeedSourceSelector selector = members.selectorOf(0);
    const TimePoint now(Duration(100s));
    cr_expect_not(selector.choose(members.all, InstanceId(), false, WallMs, now));
    const auto choice = selector.choose(members.all, InstanceId(), StaleView, WallMs, now);
    cr_assert(choice);
    cr_expect(choice->substitute);
    cr_expect_eq(choice->member.instance, members.order[1].instance);
}

Test(feedSourceSelector, another_data_centre_is_asked_if_the_own_one_has_no_fresh_view)
{
    const Members members(20);
    FeedSourceSelector selector = members.selectorOf(0);
    TimePoint now(Duration(100s));
    int asked = 0;
    for (const TimePoint end = now + 10s; now < end; now += 100ms) {
        const auto choice = selector.choose(members.all, InstanceId(), StaleView, WallMs, now);
        if (choice) {
            ++asked;
            if (choice->member.dataCentre == DataCentreId("there")) {
                break;
            }
            selector.onStale(choice->member.instance, now);
        }
    }
    cr_expect_eq(asked, 3);
}

Test(feedSourceSelector, few_sources_are_tried_in_an_outage_of_the_store_as_a_whole)
{
    const Members members(40);
    FeedSourceSelector selector = members.selectorOf(39);
    TimePoint now(Duration(100s));
    int tried = 0;
    for (const TimePoint end = now + 30s; now < end; now += 100ms) {
        const auto choice = selector.choose(members.all, InstanceId(), StaleView, WallMs, now);
        if (choice) {
            ++tried;
            selector.onStale(choice->member.instance, now);
        }
    }
    cr_expect(tried <= 10, "%d", tried);
}

Test(feedSourceSelector, a_fresh_source_is_kept_while_the_store_does_not_answer)
{
    const Members members(4);
    FeedSourceSelector selector = members.selectorOf(3);
    const TimePoint now(Duration(100s));
    cr_expect_not(selector.choose(members.all, members.order[2].instance, StaleView, WallMs, now));
}

Test(feedSourceSelector, a_preferred_source_that_was_stale_is_tried_less_and_less_often)
{
    const Members members(3);
    FeedSourceSelector selector = members.selectorOf(2);
    const InstanceId preferred = members.order[0].instance;
    TimePoint now(Duration(100s));
    int tried = 0;
    for (const TimePoint end = now + 30s; now < end; now += 100ms) {
        const auto choice =
            selector.choose(members.all, members.order[1].instance, false, WallMs, now);
        if (choice) {
            cr_assert_eq(choice->member.instance, preferred);
            ++tried;
            selector.onStale(preferred, now);
        }
    }
    cr_expect(tried >= 3 && tried <= 5, "%d", tried);
    selector.onStoreRegained();
    cr_expect(selector.choose(members.all, InstanceId(), false, WallMs, now)->member.instance
              == preferred);
}
