#pragma once

#include <condition_variable>
#include <mutex>
#include <set>

#include "OwnFormats/LogService.h"
#include "State/ClaimTable.h"

namespace lycheearch {

/// The claim table of this daemon, shared by its threads, and how far the claims stream is folded.
class ClaimKeeper
{
public:
    explicit ClaimKeeper(Duration lifetime);

    ClaimEntry begin(const RequestKey &key, const ClaimId &claim, const InstanceId &self,
                     TimePoint now);
    /// Vetoes while the table is not complete.
    ClaimAnswer ask(const ClaimAsk &ask, const std::vector<InstanceId> &ownRoster, TimePoint now);
    void release(const RequestKey &key, const ClaimId &claim, TimePoint now);
    void finish(const RequestKey &key, const ClaimId &claim, TimePoint now);
    ClaimEntry find(const RequestKey &key) const;
    ClaimPhase phaseOf(const RequestKey &key, const ClaimId &claim) const;
    std::vector<ClaimEntry> entries() const;
    void merge(const std::vector<ClaimEntry> &entries, TimePoint now);
    void expire(TimePoint now);

    /// Folds a part of the claims stream.
    void fold(const LogSlice &slice, TimePoint now);
    Offset foldedUpTo() const;
    /// Waits until the record at \p offset is folded, up to \p wait.
    bool waitFolded(Offset offset, Duration wait) const;
    std::optional<ClaimEntry> logWinner(const RequestKey &key) const;

    /// The table holds the claims of every peer and may take part.
    void setComplete();
    bool complete() const;

private:
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_folded;
    ClaimTable m_table;
    Offset m_nextOffset;
    bool m_complete = false;
};

} // namespace lycheearch
