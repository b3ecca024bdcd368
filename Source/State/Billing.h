#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <vector>

#include "OwnFormats/LogService.h"
#include "Peer/PeerNetwork.h"
#include "State/BillRecord.h"
#include "State/KeptStore.h"
#include "State/Roster.h"

namespace lycheearch {

/// Brings each bill into the log, whatever happens to this daemon. A bill is copied to two peers
/// before the answer ends; a duty appends bills in batches and then drops the copies; a daemon
/// that holds copies for a dead one appends them in its place.
/// docs/design/billing.md has the ways weighed.
class Billing
{
public:
    static constexpr std::size_t Copies = 2;
    static constexpr std::size_t Spares = 1; ///< Peers tried in place of silent ones.

    Billing(LogService &log, PeerNetwork &network, Roster &roster, KeptStore &kept,
            std::size_t capacity, const Clock &clock);

    /// Whether a bill more can be taken.
    bool hasRoom() const;
    /// Takes a bill. Returns when peers or the log hold it; false if only this daemon does.
    /// The records \p alongside are kept here and at the same peers.
    bool record(const BillRecord &bill, std::vector<KeptRecord> alongside, TimePoint now);
    /// Appends what waits. Returns whether the log took it.
    bool flush(TimePoint now);
    /// Takes over bills of daemons that are gone.
    void takeOver(TimePoint now);
    std::size_t pending() const;
    /// Appends or hands over everything, up to \p limit. Returns the bills only held here.
    std::size_t drain(Duration limit);

private:
    struct Pending
    {
        std::string data;
        std::vector<InstanceId> keepers; ///< Peers that confirmed a copy.
        std::vector<InstanceId> asked; ///< Peers that may hold one; all are told to drop it.
    };

    bool copyToPeers(const std::vector<KeptRecord> &records, Pending &pending, TimePoint now);
    void sendCopies(const std::vector<InstanceId> &keepers, const std::vector<KeptRecord> &records,
                    Pending &pending);
    void dropCopies(const std::map<std::string, Pending> &appended);
    /// Tells keepers which copies are not needed any more; those out of reach are told later.
    void sendDrops();

    LogService &m_log;
    PeerNetwork &m_network;
    Roster &m_roster;
    KeptStore &m_kept;
    std::size_t m_capacity;
    const Clock &m_clock;
    mutable std::mutex m_mutex;
    std::mutex m_flushMutex; ///< One append at a time.
    std::map<std::string, Pending> m_pending;
    std::map<InstanceId, std::vector<std::string>> m_toDrop; ///< Guarded by m_flushMutex.
};

} // namespace lycheearch
