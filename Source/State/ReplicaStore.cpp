#include "State/ReplicaStore.h"

#include <algorithm>

namespace lycheearch {

namespace {
constexpr std::size_t EvictionDivisor = 20; ///< A full store evicts the oldest 1/20 of its records.
} // namespace

ReplicaStore::ReplicaStore(std::size_t capacity, Duration lifetime)
    : m_capacity(capacity)
    , m_lifetime(lifetime)
{
}

std::vector<KeptRecord> ReplicaStore::put(const std::vector<KeptRecord> &records, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    std::vector<KeptRecord> existingOrRejected;
    for (const KeptRecord &record : records) {
        Index &index = m_records[record.kind];
        const auto found = index.find(record.key);
        if (found != index.end()) {
            found->second.lastUsedAt = now;
            if (record.kind == KeptKind::Session || record.kind == KeptKind::Answer) {
                existingOrRejected.push_back(found->second.record);
            }
            continue;
        }
        if (index.size() >= m_capacity) {
            if (record.kind == KeptKind::Bill) {
                existingOrRejected.push_back(record);
                continue;
            }
            evictOldest(index);
        }
        index[record.key] = {record, now, now};
    }
    return existingOrRejected;
}

void ReplicaStore::evictOldest(Index &index)
{
    // Evicts several records at once, because finding the oldest takes a scan of all records.
    std::vector<TimePoint> times;
    times.reserve(index.size());
    for (const auto &[key, entry] : index) {
        times.push_back(entry.lastUsedAt);
    }
    const auto limit = times.begin() + static_cast<std::ptrdiff_t>(times.size() / EvictionDivisor);
    std::nth_element(times.begin(), limit, times.end());
    const TimePoint threshold = *limit;
    std::erase_if(index, [&](const auto &item) { return item.second.lastUsedAt <= threshold; });
}

std::optional<KeptRecord> ReplicaStore::get(KeptKind kind, const std::string &key, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    Index &index = m_records[kind];
    const auto found = index.find(key);
    if (found == index.end()) {
        return std::nullopt;
    }
    found->second.lastUsedAt = now;
    return found->second.record;
}

void ReplicaStore::drop(KeptKind kind, const std::vector<std::string> &keys)
{
    std::lock_guard lock(m_mutex);
    for (const std::string &key : keys) {
        m_records[kind].erase(key);
    }
}

std::vector<KeptRecord> ReplicaStore::storedBefore(KeptKind kind, TimePoint before) const
{
    std::lock_guard lock(m_mutex);
    std::vector<KeptRecord> records;
    const auto index = m_records.find(kind);
    if (index == m_records.end()) {
        return records;
    }
    for (const auto &[key, entry] : index->second) {
        if (entry.storedAt < before) {
            records.push_back(entry.record);
        }
    }
    return records;
}

void ReplicaStore::expire(TimePoint now)
{
    std::lock_guard lock(m_mutex);
    for (auto &[kind, index] : m_records) {
        if (kind != KeptKind::Bill) {
            std::erase_if(
                index, [&](const auto &item) { return now - item.second.lastUsedAt > m_lifetime; });
        }
    }
}

std::size_t ReplicaStore::size(KeptKind kind) const
{
    std::lock_guard lock(m_mutex);
    const auto index = m_records.find(kind);
    return index == m_records.end() ? 0 : index->second.size();
}

} // namespace lycheearch
