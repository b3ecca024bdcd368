#include "Routing/PromptPlacement.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "Base/Hash.h"

namespace lycheearch {

namespace {

/// Cost of a server in another data centre, in prompt tokens.
constexpr double RemoteTokens = 500;
/// Context length at which attention takes as long as the rest of the prefill of a token, in
/// tokens.
constexpr double AttentionContext = 24'000;
/// Cost of another cached copy of a shared token besides the time, for models of any size: it
/// displaces other prefixes from the cache. In prompt tokens.
constexpr double CachePlaceTokens = 0.4;
/// Cost of copying a shared token from another engine, in prompt tokens: in the same data centre,
/// and from another data centre.
constexpr double CopyTokens = 0.25;
constexpr double FarCopyTokens = 0.5;
/// Time to copy a token, in prompt tokens.
constexpr double CopyTimeTokens = 0.06;
/// Minimum number of servers in the random sample.
constexpr double FewestDrawn = 3;
/// Up to this number of daemons, each compares all servers; above it, a share that is inversely
/// proportional to the number of daemons.
constexpr double DaemonsForAllServers = 6;

} // namespace

double readingWork(double tokens, double cached, double tokenWeight)
{
    return tokenWeight * tokens * (1 + (cached + tokens / 2) / AttentionContext);
}

PromptPlacement::PromptPlacement(const InstanceId &self)
    : m_random(stableHash("placement/" + self.value()))
{
}

std::uint64_t PromptPlacement::nextRandom()
{
    constexpr std::uint64_t step = 0x9e3779b97f4a7c15ULL;
    m_random += step;
    return mixBits(m_random);
}

std::vector<bool> PromptPlacement::draw(std::size_t candidates)
{
    const double part = DaemonsForAllServers / std::max(1, m_daemons);
    const auto wanted = static_cast<std::size_t>(
        std::max(FewestDrawn, std::ceil(part * static_cast<double>(candidates))));
    if (wanted >= candidates) {
        return std::vector<bool>(candidates, true);
    }
    std::vector<bool> drawn(candidates, false);
    for (std::size_t i = candidates - wanted; i < candidates; ++i) {
        // Floyd's algorithm for sampling without replacement.
        const std::size_t at = nextRandom() % (i + 1);
        drawn[drawn[at] ? i : at] = true;
    }
    return drawn;
}

PromptPlacement::Cost PromptPlacement::costOf(const PromptWork &work,
                                              const std::vector<PromptCandidate> &candidates,
                                              std::size_t index,
                                              const std::vector<std::size_t> &holders, bool first)
{
    const PromptCandidate &candidate = candidates[index];
    const auto shared = static_cast<double>(work.sharedTokens);
    const double own =
        readingWork(static_cast<double>(work.promptTokens) - shared, shared, work.tokenWeight);
    Cost cost;
    cost.total = candidate.backlog + (candidate.local ? 0 : RemoteTokens);
    if (std::find(holders.begin(), holders.end(), index) != holders.end()) {
        cost.source = PromptSource::Cached;
        cost.readTokens = own;
        return cost;
    }
    const double reading = readingWork(shared, 0, work.tokenWeight);
    cost.readTokens = own + reading;
    double sharedCost = holders.empty() && first ? 0 : reading + CachePlaceTokens * shared;
    for (const std::size_t holder : holders) {
        const bool near = candidates[holder].dataCentre == candidate.dataCentre;
        const double copying = (near ? CopyTokens : FarCopyTokens) * shared;
        if (candidates[holder].version == candidate.version && copying < sharedCost) {
            cost.source = PromptSource::Copied;
            cost.copyFrom = holder;
            cost.readTokens = own + CopyTimeTokens * shared;
            sharedCost = copying;
        }
    }
    cost.total += sharedCost;
    return cost;
}

PromptChoice PromptPlacement::choose(const PromptWork &work,
                                     const std::vector<PromptCandidate> &candidates,
                                     const PromptPlaces &places, TimePoint now)
{
    const bool shares = work.affinity != 0;
    std::vector<std::size_t> holders;
    std::size_t first = candidates.size();
    std::uint64_t topWeight = 0;
    const std::vector<InstanceId> known =
        shares ? places.holders(work.affinity, now) : std::vector<InstanceId>();
    for (std::size_t i = 0; shares && i < candidates.size(); ++i) {
        const std::uint64_t weight = mixBits(work.affinity ^ stableHash(candidates[i].id.value()));
        if (first == candidates.size() || weight > topWeight) {
            first = i;
            topWeight = weight;
        }
        if (std::find(known.begin(), known.end(), candidates[i].id) != known.end()) {
            holders.push_back(i);
        }
    }
    std::vector<bool> compared = draw(candidates.size());
    if (first < candidates.size()) {
        compared[first] = true;
    }
    for (const std::size_t holder : holders) {
        compared[holder] = true;
    }
    PromptChoice best;
    double bestCost = std::numeric_limits<double>::infinity();
    // A random start avoids a preference among candidates of equal cost.
    const std::size_t offset = nextRandom() % candidates.size();
    for (std::size_t step = 0; step < candidates.size(); ++step) {
        const std::size_t i = (offset + step) % candidates.size();
        if (!compared[i]) {
            continue;
        }
        const Cost cost = costOf(work, candidates, i, holders, i == first);
        if (cost.total < bestCost) {
            best = {i, cost.source, cost.copyFrom, cost.readTokens};
            bestCost = cost.total;
        }
    }
    return best;
}

} // namespace lycheearch
