#include <criterion/criterion.h>

#include "Routing/PromptPlaces.h"

using namespace lycheearch;

namespace {

const TimePoint Start = TimePoint() + 100s;
const InstanceId One("one");
const InstanceId Two("two");
constexpr std::int64_t LongPart = 13'000;

} // namespace

Test(promptPlaces, a_part_is_held_where_requests_were_sent_and_forgotten_later)
{
    PromptPlaces places;
    places.noteSent({7, One}, LongPart, Start);
    cr_expect_eq(places.holders(7, Start + 10s).size(), 1);
    cr_expect(places.holders(8, Start).empty());
    cr_expect(places.holders(7, Start + 30s).empty());
}

Test(promptPlaces, what_one_daemon_sends_all_know)
{
    PromptPlaces here;
    PromptPlaces there;
    here.noteSent({7, One}, LongPart, Start);
    here.noteSent({7, Two}, LongPart, Start);
    there.noteTold(here.takeNews(), Start);
    cr_expect_eq(there.holders(7, Start).size(), 2);
    cr_expect(there.takeNews().empty(), "received entries are not published again");
}

Test(promptPlaces, a_part_in_steady_use_stays_known_with_few_messages)
{
    PromptPlaces here;
    PromptPlaces there;
    std::size_t told = 0;
    for (TimePoint now = Start; now < Start + 60s; now += 100ms) {
        here.noteSent({7, One}, LongPart, now);
        const auto news = here.takeNews();
        told += news.size();
        there.noteTold(news, now);
        cr_assert_eq(there.holders(7, now).size(), 1);
    }
    cr_expect(told <= 13, "%zu", told);
}

Test(promptPlaces, short_parts_are_not_worth_a_message)
{
    PromptPlaces places;
    places.noteSent({7, One}, PromptPlaces::LeastTokensToTell - 1, Start);
    cr_expect_eq(places.holders(7, Start).size(), 1);
    cr_expect(places.takeNews().empty());
}

Test(promptPlaces, a_restarted_server_holds_nothing)
{
    PromptPlaces places;
    places.noteSent({7, One}, LongPart, Start);
    places.noteSent({7, Two}, LongPart, Start);
    places.forget(One);
    const auto holders = places.holders(7, Start);
    cr_assert_eq(holders.size(), 1);
    cr_expect(holders.front() == Two);
}

Test(promptPlaces, memory_is_bounded_whatever_is_sent)
{
    PromptPlaces places;
    for (std::uint64_t affinity = 1; affinity < 100'000; ++affinity) {
        places.noteSent({affinity, One}, LongPart, Start);
    }
    cr_expect(places.takeNews().size() <= 4096);
    std::size_t known = 0;
    for (std::uint64_t affinity = 1; affinity < 100'000; ++affinity) {
        known += places.holders(affinity, Start).size();
    }
    cr_expect(known <= 8192 && known > 0, "%zu", known);
}
