#pragma once

#include <condition_variable>
#include <mutex>
#include <set>

#include "Adapters/LogService.h"
#include "State/ClaimTable.h"

namespace lycheearch {

/// Thread-safe access to the ClaimTable of this daemon. Applies the claims stream of the log to it
/// and tracks the offset of the next record.
class SharedClaimTable
{
public:
    explicit SharedClaimTable(Duration lifetime);

    ClaimEntry begin(const RequestKey &key, const ClaimId &claim, const InstanceId &self,
                     TimePoint now);
    /// Refuses consent until complete(), because the table may lack claims of peers.
    ClaimAnswer ask(const ClaimAsk &ask, const std::vector<InstanceId> &memberIds, TimePoint now);
    void release(const RequestKey &key, const ClaimId &claim, TimePoint now);
    void finish(const RequestKey &key, const ClaimId &claim, TimePoint now);
    ClaimEntry find(const RequestKey &key) const;
    ClaimPhase phaseOf(const RequestKey &key, const ClaimId &claim) const;
    std::vector<ClaimEntry> entries() const;
    void merge(const std::vector<ClaimEntry> &entries, TimePoint now);
    void expire(TimePoint now);

    /// Applies records of the claims stream; records that were applied before are skipped.
    void applySlice(const LogSlice &slice, TimePoint now);
    /// Offset of the first record that is not applied yet.
    Offset nextOffset() const;
    /// Waits until the record at \p offset is applied, at most \p wait. Returns whether it is.
    bool waitUntilApplied(Offset offset, Duration wait) const;
    std::optional<ClaimEntry> logWinner(const RequestKey &key) const;

    /// Marks the table as complete: it holds the claims of every peer, so this daemon may claim
    /// keys and consent to claims.
    void setComplete();
    bool complete() const;

private:
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_applied;
    ClaimTable m_table;
    Offset m_nextOffset;
    bool m_complete = false;
};

} // namespace lycheearch
