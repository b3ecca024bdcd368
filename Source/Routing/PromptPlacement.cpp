#include "Routing/PromptPlacement.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "Base/Hash.h"

namespace lycheearch {

namespace {

/// Cost of a server in another data centre, in prompt tokens.
constexpr double RemoteCostTokens = 500;
/// Context length at which attention takes as long as the rest of the prefill of a token, in
/// tokens.
constexpr double AttentionContextTokens = 24'000;
/// Cost of the cache space of another copy of a shared token, which displaces other prefixes. In
/// prompt tokens, for models of any size.
constexpr double CacheSpaceCostTokens = 0.4;
/// Cost of copying a shared token from an engine in the same data centre, or in another one. In
/// prompt tokens.
constexpr double LocalCopyCostTokens = 0.25;
constexpr double RemoteCopyCostTokens = 0.5;
/// Time to copy a token, in weighted prompt tokens, for models of any size.
constexpr double CopyTimeTokens = 0.06;
/// Minimum size of the random sample of servers that are compared.
constexpr double MinSampledServers = 3;
/// Up to this number of daemons, each daemon compares all servers. Above it, the share of the
/// servers in the sample is inversely proportional to the number of daemons.
constexpr double MaxDaemonsForFullComparison = 6;
/// Weight of the time that a server needs for the unshared part of the prompt itself, relative to a
/// usual server. Less than 1: the queues of the faster servers are longer than the daemons know,
/// and work for slower ones is work that others don't wait for.
constexpr double OwnWorkWeight = 0.1;
/// Steps of the logarithm to base 2 of the slowness by which prefixes are dealt to the servers.
/// Coarse, since the estimates of the daemons differ.
constexpr double SlownessStepsPerDoubling = 2;

/// \p slowness, rounded so that the daemons agree on it; 1 is kept.
double roundedSlowness(double slowness)
{
    return std::exp2(std::round(std::log2(slowness) * SlownessStepsPerDoubling)
                     / SlownessStepsPerDoubling);
}

} // namespace

double prefillWork(double tokens, double cached, double tokenWeight)
{
    return tokenWeight * tokens * (1 + (cached + tokens / 2) / AttentionContextTokens);
}

PromptPlacement::PromptPlacement(const InstanceId &self)
    : m_randomState(stableHash("placement/" + self.value()))
{
}

std::uint64_t PromptPlacement::nextRandom()
{
    constexpr std::uint64_t step = 0x9e3779b97f4a7c15ULL;
    m_randomState += step;
    return mixBits(m_randomState);
}

std::vector<bool> PromptPlacement::sampleCandidates(std::size_t candidates)
{
    const double sampledShare = MaxDaemonsForFullComparison / std::max(1, m_daemons);
    const auto sampleSize = static_cast<std::size_t>(
        std::max(MinSampledServers, std::ceil(sampledShare * static_cast<double>(candidates))));
    if (sampleSize >= candidates) {
        return std::vector<bool>(candidates, true);
    }
    std::vector<bool> sampled(candidates, false);
    for (std::size_t i = candidates - sampleSize; i < candidates; ++i) {
        // Floyd's algorithm for sampling without replacement.
        const std::size_t at = nextRandom() % (i + 1);
        sampled[sampled[at] ? i : at] = true;
    }
    return sampled;
}

PromptPlacement::Cost PromptPlacement::costOf(const PromptWork &work,
                                              const std::vector<PromptCandidate> &candidates,
                                              std::size_t index,
                                              const std::vector<std::size_t> &holders,
                                              bool rendezvousChoice)
{
    const PromptCandidate &candidate = candidates[index];
    const auto shared = static_cast<double>(work.sharedTokens);
    const double unsharedWork =
        prefillWork(static_cast<double>(work.promptTokens) - shared, shared, work.tokenWeight);
    Cost cost;
    cost.total = candidate.slowness * candidate.backlog
        + OwnWorkWeight * (candidate.slowness - 1) * unsharedWork
        + (candidate.local ? 0 : RemoteCostTokens);
    if (std::find(holders.begin(), holders.end(), index) != holders.end()) {
        cost.source = PromptSource::Cached;
        cost.prefillTokens = unsharedWork;
        return cost;
    }
    const double prefixWork = prefillWork(shared, 0, work.tokenWeight);
    cost.prefillTokens = unsharedWork + prefixWork;
    double sharedCost = holders.empty() && rendezvousChoice
        ? 0
        : candidate.slowness * prefixWork + CacheSpaceCostTokens * shared;
    for (const std::size_t holder : holders) {
        const bool sameDataCentre = candidates[holder].dataCentre == candidate.dataCentre;
        const double copyCost =
            (sameDataCentre ? LocalCopyCostTokens : RemoteCopyCostTokens) * shared;
        if (candidates[holder].version == candidate.version && copyCost < sharedCost) {
            cost.source = PromptSource::Copied;
            cost.copyFrom = holder;
            cost.prefillTokens = unsharedWork + CopyTimeTokens * shared;
            sharedCost = copyCost;
        }
    }
    cost.total += sharedCost;
    return cost;
}

std::size_t PromptPlacement::rendezvousChoice(const PromptWork &work,
                                              const std::vector<PromptCandidate> &candidates)
{
    // Weighted rendezvous hashing: an exponentially distributed time for each server, the rate of
    // which is its speed. Of equal times, the greater hash wins.
    std::size_t first = 0;
    double shortestTime = std::numeric_limits<double>::infinity();
    std::uint64_t topHash = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::uint64_t hash = mixBits(work.affinity ^ stableHash(candidates[i].id.value()));
        const double uniform = std::ldexp(static_cast<double>(hash) + 1, -64);
        const double time = -std::log(uniform) * roundedSlowness(candidates[i].lastingSlowness);
        if (time < shortestTime || (time == shortestTime && hash > topHash)) {
            first = i;
            shortestTime = time;
            topHash = hash;
        }
    }
    return first;
}

PromptChoice PromptPlacement::choose(const PromptWork &work,
                                     const std::vector<PromptCandidate> &candidates,
                                     const PromptCacheIndex &cacheIndex, TimePoint now)
{
    const bool hasSharedPrefix = work.affinity != 0;
    std::vector<std::size_t> holders;
    const std::size_t preferred =
        hasSharedPrefix ? rendezvousChoice(work, candidates) : candidates.size();
    const std::vector<InstanceId> knownHolders =
        hasSharedPrefix ? cacheIndex.holders(work.affinity, now) : std::vector<InstanceId>();
    for (std::size_t i = 0; hasSharedPrefix && i < candidates.size(); ++i) {
        if (std::find(knownHolders.begin(), knownHolders.end(), candidates[i].id)
            != knownHolders.end()) {
            holders.push_back(i);
        }
    }
    std::vector<bool> compared = sampleCandidates(candidates.size());
    if (preferred < candidates.size()) {
        compared[preferred] = true;
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
        const Cost cost = costOf(work, candidates, i, holders, i == preferred);
        if (cost.total < bestCost) {
            best = {i, cost.source, cost.copyFrom, cost.prefillTokens};
            bestCost = cost.total;
        }
    }
    return best;
}

} // namespace lycheearch
