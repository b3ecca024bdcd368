#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "Base/Ids.h"
#include "Base/Time.h"

namespace lycheearch {

/// A shared prompt prefix and a backend server that has it cached.
struct PromptCacheEntry
{
    std::uint64_t affinity = 0; ///< Identifies the prefix for one model.
    InstanceId backend;

    bool operator==(const PromptCacheEntry &) const = default;
};

/// Index of the backend servers that have a shared prompt prefix cached: those to which this daemon
/// or another one recently sent a request with it. The daemons exchange entries, because each sees
/// only a small share of the traffic and would otherwise have the prefix prefilled again on another
/// server.
class PromptCacheIndex
{
public:
    /// Records that a request with a prefix of \p tokens tokens was sent to a server. Prefixes
    /// shorter than MinPublishedTokens are recorded but not published to other daemons.
    void recordSend(const PromptCacheEntry &entry, std::int64_t tokens, TimePoint now);
    /// Records entries received from other daemons.
    void applyPublished(const std::vector<PromptCacheEntry> &entries, TimePoint now);
    /// All backend servers that have the prefix cached, according to this index.
    std::vector<InstanceId> holders(std::uint64_t affinity, TimePoint now) const;
    /// Returns and clears the entries to publish: those that the other daemons do not have, or that
    /// would expire there soon.
    std::vector<PromptCacheEntry> takeUnpublished();
    /// Removes all entries of a server, whose cache is lost after a restart.
    void removeBackend(const InstanceId &backend);

    static constexpr std::int64_t MinPublishedTokens = 1000;

private:
    /// A server that has a prefix cached.
    struct Holder
    {
        InstanceId backend;
        TimePoint usedAt;
        TimePoint publishedAt; ///< Last published, or received from another daemon.
    };

    /// The entry of a server, inserted if absent. Removes expired entries of the same prefix.
    Holder &findOrInsertHolder(const PromptCacheEntry &entry, TimePoint now);

    std::unordered_map<std::uint64_t, std::vector<Holder>> m_holders;
    std::vector<PromptCacheEntry> m_unpublished;
};

} // namespace lycheearch
