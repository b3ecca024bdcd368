#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "Base/Time.h"
#include "Peer/PeerMessages.h"

namespace lycheearch {

/// Records that this daemon holds for itself and for peers: finished answers, session pins, and
/// bills that are not yet in the log. Bounded; answers and sessions are forgotten, oldest first,
/// bills only when they are dropped. Safe for use by many threads.
class KeptStore
{
public:
    KeptStore(std::size_t capacity, Duration lifetime);

    /// Stores records. The first session pin and the first answer of a key win; what was there
    /// before is returned. Bills are refused, and returned, when the store is full of bills.
    std::vector<KeptRecord> put(const std::vector<KeptRecord> &records, TimePoint now);
    std::optional<KeptRecord> get(KeptKind kind, const std::string &key, TimePoint now);
    void drop(KeptKind kind, const std::vector<std::string> &keys);

    /// Records of a kind that were stored before \p before.
    std::vector<KeptRecord> storedBefore(KeptKind kind, TimePoint before) const;
    void expire(TimePoint now);
    std::size_t size(KeptKind kind) const;

private:
    struct Entry
    {
        KeptRecord record;
        TimePoint storedAt;
        TimePoint usedAt;
    };
    using Index = std::map<std::string, Entry>;

    void makeRoom(Index &index);

    std::size_t m_capacity;
    Duration m_lifetime;
    mutable std::mutex m_mutex;
    std::map<KeptKind, Index> m_records;
};

} // namespace lycheearch
