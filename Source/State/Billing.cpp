#include "State/Billing.h"

#include <algorithm>
#include <thread>

#include "Base/Logger.h"
#include "State/ReplicaPlacement.h"

namespace lycheearch {

namespace {
constexpr std::size_t MaxBatchRecords = 500;
/// Replicas whose owner is not alive are appended at this age.
constexpr Duration OrphanedReplicaAge = 5s;
/// Replicas of any owner are appended at this age.
constexpr Duration MaxReplicaAge = 600s;
constexpr Duration DrainPollPeriod = 100ms;
const Logger Log("billing");
} // namespace

Billing::Billing(LogService &log, PeerNetwork &network, Membership &membership,
                 ReplicaStore &replicas, std::size_t capacity, const Clock &clock)
    : m_log(log)
    , m_network(network)
    , m_membership(membership)
    , m_replicas(replicas)
    , m_capacity(capacity)
    , m_clock(clock)
{
}

bool Billing::hasCapacity() const
{
    std::lock_guard lock(m_mutex);
    return m_pending.size() < m_capacity;
}

std::size_t Billing::pending() const
{
    std::lock_guard lock(m_mutex);
    return m_pending.size();
}

bool Billing::record(const BillRecord &bill, std::vector<KeptRecord> additionalRecords,
                     TimePoint now)
{
    PendingBill pending{encodeBill(bill), {}, {}};
    for (KeptRecord &record : additionalRecords) {
        record.owner = m_membership.self();
    }
    m_replicas.put(additionalRecords, now);
    additionalRecords.push_back({KeptKind::Bill, bill.key.value(), m_membership.self(),
                                 pending.data, m_membership.startId()});
    const bool replicated = replicate(additionalRecords, pending, now);
    {
        std::lock_guard lock(m_mutex);
        m_pending[bill.key.value()] = pending;
    }
    if (replicated) {
        return true;
    }
    // No peer confirmed a replica, so the response waits for the log.
    return flush(now);
}

bool Billing::replicate(const std::vector<KeptRecord> &records, PendingBill &pending, TimePoint now)
{
    const std::vector<InstanceId> candidates =
        chooseReplicaHolders(m_membership, records.back().key, ReplicaCount + FallbackPeers, now);
    const auto slice = [&](std::size_t from, std::size_t until) {
        const auto at = [&](std::size_t index) {
            return candidates.begin()
                + static_cast<std::ptrdiff_t>(std::min(index, candidates.size()));
        };
        return std::vector<InstanceId>(at(from), at(until));
    };
    sendReplicas(slice(0, ReplicaCount), records, pending);
    if (pending.holders.size() < ReplicaCount) {
        sendReplicas(slice(ReplicaCount, ReplicaCount + FallbackPeers), records, pending);
    }
    return !pending.holders.empty();
}

void Billing::sendReplicas(const std::vector<InstanceId> &holders,
                           const std::vector<KeptRecord> &records, PendingBill &pending)
{
    const auto isBill = [](const KeptRecord &record) { return record.kind == KeptKind::Bill; };
    const auto answers = m_network.storeReplicasAtAll(holders, records);
    pending.possibleHolders.insert(pending.possibleHolders.end(), holders.begin(), holders.end());
    for (std::size_t i = 0; i < answers.size(); ++i) {
        // A peer returns the bills that its store has no capacity for.
        const bool kept = answers[i].ok()
            && std::none_of(answers[i].value().begin(), answers[i].value().end(), isBill);
        if (kept) {
            pending.holders.push_back(holders[i]);
        }
    }
}

bool Billing::flush(TimePoint now)
{
    std::lock_guard flushing(m_flushMutex);
    std::map<std::string, PendingBill> batch;
    std::vector<std::string> records;
    {
        std::lock_guard lock(m_mutex);
        for (const auto &[key, pending] : m_pending) {
            if (batch.size() == MaxBatchRecords) {
                break;
            }
            batch[key] = pending;
            records.push_back(pending.data);
        }
    }
    if (batch.empty()) {
        sendReplicaDrops();
        return true;
    }
    const auto offset = m_log.append(Streams::Billing, records);
    if (!offset.ok()) {
        // The bills stay pending and are appended again by a later flush. If this append took
        // effect after all, readers drop the duplicates by key.
        return false;
    }
    {
        std::lock_guard lock(m_mutex);
        for (const auto &[key, pending] : batch) {
            m_pending.erase(key);
        }
    }
    dropReplicas(batch);
    return true;
}

void Billing::dropReplicas(const std::map<std::string, PendingBill> &appended)
{
    for (const auto &[key, pending] : appended) {
        for (const InstanceId &holder : pending.possibleHolders) {
            m_pendingDrops[holder].push_back(key);
        }
    }
    sendReplicaDrops();
}

void Billing::sendReplicaDrops()
{
    for (auto it = m_pendingDrops.begin(); it != m_pendingDrops.end();) {
        const auto &[holder, keys] = *it;
        const bool obsolete = !m_membership.isMember(holder) || keys.size() > m_capacity;
        // A replica that is not deleted is appended by its holder later. Readers drop the
        // duplicate.
        if (obsolete || !m_network.deleteReplicas(holder, KeptKind::Bill, keys)) {
            it = m_pendingDrops.erase(it);
        } else {
            ++it;
        }
    }
}

void Billing::appendOrphanedBills(TimePoint now)
{
    std::vector<std::string> keys;
    std::vector<std::string> records;
    for (const KeptRecord &record :
         m_replicas.storedBefore(KeptKind::Bill, now - OrphanedReplicaAge)) {
        const bool alive = m_membership.isProcessAlive(record.owner, record.ownerStart, now);
        if (!alive && records.size() < MaxBatchRecords) {
            keys.push_back(record.key);
            records.push_back(record.data);
        }
    }
    for (const KeptRecord &record : m_replicas.storedBefore(KeptKind::Bill, now - MaxReplicaAge)) {
        if (records.size() < MaxBatchRecords) {
            keys.push_back(record.key);
            records.push_back(record.data);
        }
    }
    if (records.empty() || !m_log.append(Streams::Billing, records).ok()) {
        return;
    }
    m_replicas.drop(KeptKind::Bill, keys);
    Log.info("Appended " + std::to_string(records.size()) + " bills held for other daemons.");
}

std::size_t Billing::drain(Duration limit)
{
    std::size_t unreplicated = 0;
    for (Duration waited{}; waited < limit; waited += DrainPollPeriod) {
        if (flush(m_clock.now()) && pending() == 0) {
            return 0;
        }
        unreplicated = 0;
        {
            std::lock_guard lock(m_mutex);
            for (const auto &[key, pending] : m_pending) {
                unreplicated += pending.holders.empty() ? 1 : 0;
            }
        }
        if (unreplicated == 0) {
            return 0;
        }
        std::this_thread::sleep_for(DrainPollPeriod);
    }
    return unreplicated;
}

} // namespace lycheearch
