#include <criterion/criterion.h>

#include "Routing/PromptCacheIndex.h"

using namespace lycheearch;

namespace {

const TimePoint Start = TimePoint() + 100s;
const InstanceId One("one");
const InstanceId Two("two");
constexpr std::int64_t LongPrefixTokens = 13'000;

} // namespace

Test(promptCacheIndex, an_entry_is_recorded_per_server_and_expires)
{
    PromptCacheIndex cacheIndex;
    cacheIndex.recordSend({7, One}, LongPrefixTokens, Start);
    cr_expect_eq(cacheIndex.holders(7, Start + 10s).size(), 1);
    cr_expect(cacheIndex.holders(8, Start).empty());
    cr_expect(cacheIndex.holders(7, Start + 30s).empty());
}

Test(promptCacheIndex, entries_reach_other_daemons_and_are_not_republished)
{
    PromptCacheIndex here;
    PromptCacheIndex there;
    here.recordSend({7, One}, LongPrefixTokens, Start);
    here.recordSend({7, Two}, LongPrefixTokens, Start);
    there.applyPublished(here.takeUnpublished(), Start);
    cr_expect_eq(there.holders(7, Start).size(), 2);
    cr_expect(there.takeUnpublished().empty(), "received entries are not published again");
}

Test(promptCacheIndex, an_entry_in_use_does_not_expire_at_other_daemons_with_few_messages)
{
    PromptCacheIndex here;
    PromptCacheIndex there;
    std::size_t published = 0;
    for (TimePoint now = Start; now < Start + 60s; now += 100ms) {
        here.recordSend({7, One}, LongPrefixTokens, now);
        const auto entries = here.takeUnpublished();
        published += entries.size();
        there.applyPublished(entries, now);
        cr_assert_eq(there.holders(7, now).size(), 1);
    }
    cr_expect(published <= 13, "%zu", published);
}

Test(promptCacheIndex, short_prefixes_are_not_published)
{
    PromptCacheIndex cacheIndex;
    cacheIndex.recordSend({7, One}, PromptCacheIndex::MinPublishedTokens - 1, Start);
    cr_expect_eq(cacheIndex.holders(7, Start).size(), 1);
    cr_expect(cacheIndex.takeUnpublished().empty());
}

Test(promptCacheIndex, a_restarted_server_has_no_entries)
{
    PromptCacheIndex cacheIndex;
    cacheIndex.recordSend({7, One}, LongPrefixTokens, Start);
    cacheIndex.recordSend({7, Two}, LongPrefixTokens, Start);
    cacheIndex.removeBackend(One);
    const auto holders = cacheIndex.holders(7, Start);
    cr_assert_eq(holders.size(), 1);
    cr_expect(holders.front() == Two);
}

Test(promptCacheIndex, the_number_of_entries_is_bounded)
{
    PromptCacheIndex cacheIndex;
    for (std::uint64_t affinity = 1; affinity < 100'000; ++affinity) {
        cacheIndex.recordSend({affinity, One}, LongPrefixTokens, Start);
    }
    cr_expect(cacheIndex.takeUnpublished().size() <= 4096);
    std::size_t entryCount = 0;
    for (std::uint64_t affinity = 1; affinity < 100'000; ++affinity) {
        entryCount += cacheIndex.holders(affinity, Start).size();
    }
    cr_expect(entryCount <= 8192 && entryCount > 0, "%zu", entryCount);
}
