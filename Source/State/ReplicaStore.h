#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "Base/Time.h"
#include "Peer/PeerMessages.h"

namespace lycheearch {

/// In-memory store of the records that this daemon holds for itself and as replicas for its peers:
/// finished answers, session pins, and bills that are not in the log yet. The peer protocol calls
/// them kept records. The capacity is a number of records of each kind. Answers and session pins
/// expire, and are evicted least recently used first; bills are only removed by drop().
/// Thread-safe.
class ReplicaStore
{
public:
    /// \p lifetime is the time from the last use of a record until it expires.
    ReplicaStore(std::size_t capacity, Duration lifetime);

    /// Stores records whose key is not in use; the first record of a key is never overwritten.
    /// Returns the session pins and answers that were already stored under the given keys, and the
    /// given bills that were rejected because the store is full of bills.
    std::vector<KeptRecord> put(const std::vector<KeptRecord> &records, TimePoint now);
    /// Looks up a record and marks it as used at \p now.
    std::optional<KeptRecord> get(KeptKind kind, const std::string &key, TimePoint now);
    void drop(KeptKind kind, const std::vector<std::string> &keys);

    /// Returns the records of a kind that were stored before \p before.
    std::vector<KeptRecord> storedBefore(KeptKind kind, TimePoint before) const;
    /// Removes the answers and session pins that were not used for longer than the lifetime.
    void expire(TimePoint now);
    std::size_t size(KeptKind kind) const;

private:
    struct Entry
    {
        KeptRecord record;
        TimePoint storedAt;
        TimePoint lastUsedAt;
    };
    using Index = std::map<std::string, Entry>;

    void evictOldest(Index &index);

    std::size_t m_capacity;
    Duration m_lifetime;
    mutable std::mutex m_mutex;
    std::map<KeptKind, Index> m_records;
};

} // namespace lycheearch
