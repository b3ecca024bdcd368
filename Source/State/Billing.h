#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <vector>

#include "Adapters/LogService.h"
#include "Peer/PeerNetwork.h"
#include "State/BillRecord.h"
#include "State/Membership.h"
#include "State/ReplicaStore.h"

namespace lycheearch {

/// Writes every bill to the billing stream of the log, even if this daemon crashes before it has
/// appended the bill. A bill is replicated to two peers before the response completes. A background
/// thread appends bills in batches and then deletes the replicas. If the daemon dies, the peers
/// that hold the replicas append them. docs/design/billing.md compares the alternatives.
class Billing
{
public:
    static constexpr std::size_t ReplicaCount = 2;
    static constexpr std::size_t FallbackPeers = 1; ///< Peers tried if a replica is not confirmed.

    Billing(LogService &log, PeerNetwork &network, Membership &membership, ReplicaStore &replicas,
            std::size_t capacity, const Clock &clock);

    /// Whether the number of pending bills is below the capacity.
    bool hasCapacity() const;
    /// Replicates a bill to peers; if no peer confirms, appends it to the log. Blocks meanwhile.
    /// Returns false if both fail, so that only this daemon holds the bill. Also stores
    /// \p additionalRecords, here and at the same peers.
    bool record(const BillRecord &bill, std::vector<KeptRecord> additionalRecords, TimePoint now);
    /// Appends a batch of the pending bills to the log. Returns whether the append succeeded; true
    /// if no bill was pending.
    bool flush(TimePoint now);
    /// Appends replicas of bills to the log if the process that owns them is not alive according to
    /// the membership, or if they were stored too long ago.
    void appendOrphanedBills(TimePoint now);
    /// Number of bills of this daemon that are not in the log yet.
    std::size_t pending() const;
    /// Flushes until every bill is in the log or at a peer, for at most \p limit. Returns the
    /// number of bills that only this daemon holds.
    std::size_t drain(Duration limit);

private:
    struct PendingBill
    {
        std::string data;
        std::vector<InstanceId> holders; ///< Peers that confirmed a replica.
        /// Peers that were sent a replica. They may hold one even if they did not confirm it, so
        /// all of them are requested to delete it.
        std::vector<InstanceId> possibleHolders;
    };

    bool replicate(const std::vector<KeptRecord> &records, PendingBill &pending, TimePoint now);
    void sendReplicas(const std::vector<InstanceId> &holders,
                      const std::vector<KeptRecord> &records, PendingBill &pending);
    void dropReplicas(const std::map<std::string, PendingBill> &appended);
    /// Requests the deletion of replicas of appended bills. The next call retries the requests to
    /// peers that were unreachable.
    void sendReplicaDrops();

    LogService &m_log;
    PeerNetwork &m_network;
    Membership &m_membership;
    ReplicaStore &m_replicas;
    std::size_t m_capacity;
    const Clock &m_clock;
    mutable std::mutex m_mutex;
    std::mutex m_flushMutex; ///< Held by flush(), so that its appends don't overlap.
    std::map<std::string, PendingBill> m_pending;
    std::map<InstanceId, std::vector<std::string>> m_pendingDrops; ///< Guarded by m_flushMutex.
};

} // namespace lycheearch
