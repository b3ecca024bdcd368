#pragma once

#include <cstdint>
#include <vector>

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Routing/PromptCacheIndex.h"

namespace lycheearch {

/// Properties of a prompt that affect the choice of a server.
struct PromptWork
{
    std::uint64_t affinity = 0; ///< Requests with the same value share a prompt prefix; 0: none.
    std::int64_t promptTokens = 0;
    std::int64_t sharedTokens = 0; ///< Tokens of the prompt in the shared prefix.
    double tokenWeight = 1; ///< Prefill work per token, relative to the largest model.
};

/// Work to prefill \p tokens that follow \p cached tokens, which are in the KV cache but still take
/// part in attention. The unit is the work for one token of the largest model in an empty context.
double prefillWork(double tokens, double cached, double tokenWeight);

/// A backend server that can serve the request.
struct PromptCandidate
{
    InstanceId id;
    DataCentreId dataCentre;
    VersionId version;
    double backlog = 0; ///< Weighted tokens that the server prefills before this request.
    bool local = false; ///< In the data centre of this daemon.
    double slowness = 1; ///< Time that it takes now for a token, relative to a usual server.
    double lastingSlowness = 1; ///< The same, on average over minutes.
};

/// How a server obtains the shared prefix of a prompt.
enum class PromptSource {
    Cached, ///< From its own cache.
    Copied, ///< From the cache of another server.
    Prefilled, ///< By prefill.
};

/// The server chosen for a prompt.
struct PromptChoice
{
    std::size_t candidate = 0; ///< Index among the candidates.
    PromptSource source = PromptSource::Prefilled;
    std::size_t copyFrom = 0; ///< Index of the candidate to copy from, if the source is Copied.
    /// Weighted tokens that the server prefills for this request; a copy counts by its duration.
    double prefillTokens = 0;
};

/// Chooses the backend server with the lowest cost for a prompt: the expected time, in tokens of a
/// server of usual speed, and a price for copies and distance. The cost is the sum of the
/// server's backlog, the cost to obtain the shared prefix (cached, copied from another server or
/// prefilled) and a penalty for another data centre. If no server has the prefix cached, the cost
/// to obtain it is 0 for the server with the highest rendezvous weight, so that all daemons
/// tend to choose the same one; slower servers have lower weights. Other servers without the prefix
/// are compared only if they are in a random sample, which is smaller the more daemons there are.
/// Handles hot prefixes (further servers get copies), herding (many daemons sending to the server
/// that the last load report showed as idle) and servers of different speed.
class PromptPlacement
{
public:
    explicit PromptPlacement(const InstanceId &self);

    /// \p candidates must not be empty.
    PromptChoice choose(const PromptWork &work, const std::vector<PromptCandidate> &candidates,
                        const PromptCacheIndex &cacheIndex, TimePoint now);
    /// Sets the number of daemons that choose among the same servers.
    void setDaemons(int daemons) { m_daemons = daemons; }

private:
    /// Cost of a candidate, in weighted tokens.
    struct Cost
    {
        PromptSource source = PromptSource::Prefilled;
        std::size_t copyFrom = 0;
        double prefillTokens = 0;
        double total = 0;
    };

    /// The candidate that all daemons prefer for the shared prefix, if there is one.
    static std::size_t rendezvousChoice(const PromptWork &work,
                                        const std::vector<PromptCandidate> &candidates);
    static Cost costOf(const PromptWork &work, const std::vector<PromptCandidate> &candidates,
                       std::size_t index, const std::vector<std::size_t> &holders,
                       bool rendezvousChoice);
    /// Marks a random sample of the candidates.
    std::vector<bool> sampleCandidates(std::size_t candidates);
    std::uint64_t nextRandom();

    std::uint64_t m_randomState;
    int m_daemons = 1;
};

} // namespace lycheearch
