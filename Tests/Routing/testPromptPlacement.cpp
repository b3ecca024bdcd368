#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>

#include "Base/Hash.h"
#include "Routing/PromptPlacement.h"

using namespace lycheearch;

namespace {

const TimePoint Start = TimePoint() + 100s;
const DataCentreId Here("here");
const DataCentreId There("there");
const VersionId Version("v1");

std::vector<PromptCandidate> servers(int count)
{
    std::vector<PromptCandidate> result;
    for (int i = 0; i < count; ++i) {
        const bool local = i % 2 == 0;
        result.push_back(
            {InstanceId("e" + std::to_string(i)), local ? Here : There, Version, 0, local});
    }
    return result;
}

const PromptWork LongPrompt{7, 17'000, 13'000, 1};

/// Simulates engines that prefill one prompt at a time, and daemons that exchange load and cached
/// prefixes with a delay.
class SimulatedFleet
{
public:
    SimulatedFleet(int daemons, int engines)
        : m_candidates(servers(engines))
        , m_freeAt(static_cast<std::size_t>(engines), Start)
        , m_pending(static_cast<std::size_t>(engines))
    {
        for (int i = 0; i < daemons; ++i) {
            m_placements.emplace_back(InstanceId("d" + std::to_string(i)));
            m_placements.back().setDaemons(daemons);
            m_cacheIndexes.emplace_back();
        }
        m_reportedBacklog.resize(static_cast<std::size_t>(engines));
    }

    /// Returns the time from \p now to the end of the prefill.
    Duration request(const PromptWork &work, TimePoint now)
    {
        exchange(now);
        const std::size_t daemon = m_next++ % m_placements.size();
        for (std::size_t i = 0; i < m_candidates.size(); ++i) {
            m_candidates[i].backlog = m_reportedBacklog[i];
        }
        const PromptChoice choice =
            m_placements[daemon].choose(work, m_candidates, m_cacheIndexes[daemon], now);
        const std::size_t engine = choice.candidate;
        m_cacheIndexes[daemon].recordSend({work.affinity, m_candidates[engine].id},
                                          work.sharedTokens, now);
        // The index of the daemon may be wrong; the cache of the engine decides.
        std::vector<std::uint64_t> &prefixes = m_cached[engine];
        const bool cached =
            std::find(prefixes.begin(), prefixes.end(), work.affinity) != prefixes.end();
        if (!cached) {
            prefixes.push_back(work.affinity);
        }
        const bool copied = choice.source == PromptSource::Copied;
        const double shared = cached ? 0 : copied ? CopyTimeShare : 1.0;
        const double tokens = static_cast<double>(work.promptTokens - work.sharedTokens)
            + shared * static_cast<double>(work.sharedTokens);
        m_prefilledSharedTokens += !cached && !copied ? work.sharedTokens : 0;
        const Duration prefillTime(static_cast<std::int64_t>(tokens / TokensPerMicrosecond));
        m_freeAt[engine] = std::max(m_freeAt[engine], now) + prefillTime;
        m_pending[engine].push_back({m_freeAt[engine], tokens});
        return m_freeAt[engine] - now;
    }

    std::int64_t prefilledSharedTokens() const { return m_prefilledSharedTokens; }

private:
    static constexpr double TokensPerMicrosecond = 0.021;
    static constexpr double CopyTimeShare = 0.06;
    static constexpr Duration ExchangePeriod = 400ms;

    struct Pending
    {
        TimePoint until;
        double tokens;
    };

    void exchange(TimePoint now)
    {
        if (now < m_exchangeAt) {
            return;
        }
        m_exchangeAt = now + ExchangePeriod;
        std::vector<PromptCacheEntry> entries;
        for (PromptCacheIndex &cacheIndex : m_cacheIndexes) {
            const auto unpublished = cacheIndex.takeUnpublished();
            entries.insert(entries.end(), unpublished.begin(), unpublished.end());
        }
        for (PromptCacheIndex &cacheIndex : m_cacheIndexes) {
            cacheIndex.applyPublished(entries, now);
        }
        for (std::size_t i = 0; i < m_pending.size(); ++i) {
            std::erase_if(m_pending[i], [&](const Pending &one) { return one.until <= now; });
            m_reportedBacklog[i] = 0;
            for (const Pending &one : m_pending[i]) {
                m_reportedBacklog[i] += one.tokens;
            }
        }
    }

    std::vector<PromptCandidate> m_candidates;
    std::vector<PromptPlacement> m_placements;
    std::vector<PromptCacheIndex> m_cacheIndexes;
    std::vector<TimePoint> m_freeAt;
    std::vector<std::deque<Pending>> m_pending;
    std::vector<double> m_reportedBacklog;
    std::map<std::size_t, std::vector<std::uint64_t>> m_cached;
    TimePoint m_exchangeAt = Start;
    std::size_t m_next = 0;
    std::int64_t m_prefilledSharedTokens = 0;
};

} // namespace

Test(promptPlacement, all_daemons_choose_one_server_for_an_uncached_prefix)
{
    const auto candidates = servers(60);
    PromptPlacement one(InstanceId("one"));
    PromptPlacement other(InstanceId("other"));
    one.setDaemons(76);
    other.setDaemons(76);
    const PromptCacheIndex emptyIndex;
    for (std::uint64_t affinity = 1; affinity < 80; ++affinity) {
        const PromptWork work{affinity, 17'000, 13'000, 1};
        cr_expect_eq(one.choose(work, candidates, emptyIndex, Start).candidate,
                     other.choose(work, candidates, emptyIndex, Start).candidate);
    }
}

Test(promptPlacement, a_prefix_is_copied_from_a_busy_holder)
{
    auto candidates = servers(6);
    PromptPlacement placement(InstanceId("self"));
    PromptCacheIndex cacheIndex;
    cacheIndex.recordSend({7, candidates[0].id}, 13'000, Start);
    const PromptChoice idle = placement.choose(LongPrompt, candidates, cacheIndex, Start);
    cr_expect_eq(idle.candidate, 0);
    cr_expect_eq(idle.source, PromptSource::Cached);
    candidates[0].backlog = 60'000;
    const PromptChoice busy = placement.choose(LongPrompt, candidates, cacheIndex, Start);
    cr_expect_neq(busy.candidate, 0);
    cr_expect_eq(busy.source, PromptSource::Copied);
    cr_expect_eq(busy.copyFrom, 0);
    cr_expect(busy.prefillTokens < 0.6 * prefillWork(17'000, 0, 1));
}

Test(promptPlacement, a_prefix_is_not_copied_between_versions)
{
    auto candidates = servers(6);
    PromptPlacement placement(InstanceId("self"));
    PromptCacheIndex cacheIndex;
    cacheIndex.recordSend({7, candidates[0].id}, 13'000, Start);
    candidates[0].version = VersionId("v0");
    candidates[0].backlog = 60'000;
    cr_expect_eq(placement.choose(LongPrompt, candidates, cacheIndex, Start).source,
                 PromptSource::Prefilled);
}

Test(promptPlacement, prefill_work_grows_faster_than_the_number_of_tokens)
{
    cr_expect(prefillWork(30'000, 0, 1) > 2.4 * prefillWork(15'000, 0, 1));
    cr_expect(prefillWork(3'000, 30'000, 1) > 1.5 * prefillWork(3'000, 0, 1));
    cr_expect_float_eq(prefillWork(3'000, 0, 0.1), 0.1 * prefillWork(3'000, 0, 1), 1e-6);
}

Test(promptPlacement, prompts_are_prefilled_in_time_at_70_percent_load)
{
    // 76 daemons, 60 engines and 73 shared prefixes; all caches start empty.
    constexpr int Requests = 12'000;
    constexpr double Load = 0.7;
    constexpr double UnsharedPrefillSeconds = 4'000 / 21'000.0;
    std::mt19937 random(5);
    std::exponential_distribution<double> gap(60 * Load / UnsharedPrefillSeconds);
    SimulatedFleet fleet(76, 60);
    TimePoint now = Start;
    int late = 0;
    for (int i = 0; i < Requests; ++i) {
        now += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
        const PromptWork work{1 + random() % 73, 17'000, 13'000, 1};
        late += fleet.request(work, now) > 3s ? 1 : 0;
    }
    cr_expect(late < Requests / 50, "%d of %d are late", late, Requests);
    // Each prefix is prefilled a few times at the start, and copied afterwards.
    const std::int64_t prefixes = fleet.prefilledSharedTokens() / 13'000;
    cr_expect(prefixes < 4 * 73, "%lld prefixes were prefilled", static_cast<long long>(prefixes));
}

Test(promptPlacement, a_server_that_is_slow_gets_less)
{
    auto candidates = servers(6);
    PromptPlacement placement(InstanceId("self"));
    const PromptCacheIndex emptyIndex;
    const PromptWork work{0, 4'000, 0, 1};
    for (PromptCandidate &candidate : candidates) {
        candidate.local = true;
        candidate.backlog = 4'000;
        candidate.slowness = 2.4;
    }
    candidates[3].slowness = 1;
    candidates[3].backlog = 9'000;
    cr_expect_eq(placement.choose(work, candidates, emptyIndex, Start).candidate, 3);
    candidates[3].backlog = 11'500;
    cr_expect_neq(placement.choose(work, candidates, emptyIndex, Start).candidate, 3);
}

Test(promptPlacement, equal_servers_share_the_prefixes_in_the_same_way_at_any_speed)
{
    const auto usual = servers(60);
    auto slow = usual;
    for (PromptCandidate &candidate : slow) {
        candidate.slowness = 1.7;
        candidate.lastingSlowness = 1.7;
    }
    PromptPlacement one(InstanceId("one"));
    PromptPlacement other(InstanceId("other"));
    const PromptCacheIndex emptyIndex;
    for (std::uint64_t affinity = 1; affinity < 200; ++affinity) {
        std::size_t expected = 0;
        std::uint64_t top = 0;
        for (std::size_t i = 0; i < usual.size(); ++i) {
            const std::uint64_t hash = mixBits(affinity ^ stableHash(usual[i].id.value()));
            expected = hash > top ? i : expected;
            top = std::max(top, hash);
        }
        const PromptWork work{affinity, 17'000, 13'000, 1};
        cr_expect_eq(one.choose(work, usual, emptyIndex, Start).candidate, expected);
        cr_expect_eq(other.choose(work, slow, emptyIndex, Start).candidate, expected);
    }
}

Test(promptPlacement, faster_servers_get_more_prefixes_and_daemons_agree_on_them)
{
    auto one = servers(60);
    auto other = one;
    for (std::size_t i = 0; i < one.size(); ++i) {
        const double slowness = i % 3 == 2 ? 1.7 : 0.7;
        one[i].slowness = one[i].lastingSlowness = slowness;
        other[i].slowness = other[i].lastingSlowness = 1.04 * slowness;
    }
    PromptPlacement first(InstanceId("one"));
    PromptPlacement second(InstanceId("other"));
    first.setDaemons(76);
    second.setDaemons(76);
    const PromptCacheIndex emptyIndex;
    int atSlow = 0;
    int agreed = 0;
    for (std::uint64_t affinity = 1; affinity <= 600; ++affinity) {
        const PromptWork work{affinity, 17'000, 13'000, 1};
        const std::size_t chosen = first.choose(work, one, emptyIndex, Start).candidate;
        atSlow += chosen % 3 == 2 ? 1 : 0;
        agreed += second.choose(work, other, emptyIndex, Start).candidate == chosen ? 1 : 0;
    }
    // By speed, a third of the servers has 0.17 of the prefixes.
    cr_expect(atSlow < 130, "%d of 600 at slow servers", atSlow);
    cr_expect(agreed > 570, "%d of 600 agreed", agreed);
}
