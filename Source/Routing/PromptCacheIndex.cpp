#include "Routing/PromptCacheIndex.h"

#include <algorithm>

namespace lycheearch {

namespace {

/// An entry expires this long after its last use; engines keep a prefix cached at least as long.
constexpr Duration CacheEntryLifetime = 15s;
/// Interval at which an entry in use is published again, well before it expires at other daemons.
constexpr Duration RepublishPeriod = 5s;
/// Number of prefixes at which the index is cleared before another one is added.
constexpr std::size_t MaxTrackedPrefixes = 8192;
/// Limits the entries to publish, which accumulate while this daemon has no connection to others.
constexpr std::size_t MaxUnpublishedEntries = 4096;
constexpr std::size_t MaxHolders = 1024; ///< Of one prefix.

} // namespace

PromptCacheIndex::Holder &PromptCacheIndex::findOrInsertHolder(const PromptCacheEntry &entry,
                                                               TimePoint now)
{
    if (m_holders.size() >= MaxTrackedPrefixes && !m_holders.contains(entry.affinity)) {
        m_holders.clear();
    }
    std::vector<Holder> &holders = m_holders[entry.affinity];
    std::erase_if(holders,
                  [&](const Holder &server) { return now - server.usedAt >= CacheEntryLifetime; });
    const auto found = std::find_if(holders.begin(), holders.end(), [&](const Holder &server) {
        return server.backend == entry.backend;
    });
    if (found != holders.end()) {
        return *found;
    }
    if (holders.size() >= MaxHolders) {
        holders.erase(holders.begin()); // The one that has been known longest.
    }
    holders.push_back({entry.backend, now, TimePoint()});
    return holders.back();
}

void PromptCacheIndex::recordSend(const PromptCacheEntry &entry, std::int64_t tokens, TimePoint now)
{
    Holder &server = findOrInsertHolder(entry, now);
    server.usedAt = now;
    const bool due =
        server.publishedAt == TimePoint() || now - server.publishedAt >= RepublishPeriod;
    if (due && tokens >= MinPublishedTokens && m_unpublished.size() < MaxUnpublishedEntries) {
        server.publishedAt = now;
        m_unpublished.push_back(entry);
    }
}

void PromptCacheIndex::applyPublished(const std::vector<PromptCacheEntry> &entries, TimePoint now)
{
    for (const PromptCacheEntry &entry : entries) {
        Holder &server = findOrInsertHolder(entry, now);
        server.usedAt = now;
        server.publishedAt = now;
    }
}

std::vector<InstanceId> PromptCacheIndex::holders(std::uint64_t affinity, TimePoint now) const
{
    std::vector<InstanceId> result;
    const auto found = m_holders.find(affinity);
    if (found == m_holders.end()) {
        return result;
    }
    for (const Holder &server : found->second) {
        if (now - server.usedAt < CacheEntryLifetime) {
            result.push_back(server.backend);
        }
    }
    return result;
}

std::vector<PromptCacheEntry> PromptCacheIndex::takeUnpublished()
{
    return std::exchange(m_unpublished, {});
}

void PromptCacheIndex::removeBackend(const InstanceId &backend)
{
    for (auto &[affinity, holders] : m_holders) {
        std::erase_if(holders, [&](const Holder &server) { return server.backend == backend; });
    }
}

} // namespace lycheearch
