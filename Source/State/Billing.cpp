#include "State/Billing.h"

#include <algorithm>
#include <thread>

#include "Base/Logger.h"
#include "State/KeeperChoice.h"

namespace lycheearch {

namespace {
constexpr std::size_t MaxBatch = 500;
constexpr Duration TakeOverDelay = 5s; ///< Replicas of dead owners are appended at this age.
constexpr Duration LongestHold = 600s; ///< Replicas of any owner are appended at this age.
constexpr Duration DrainPoll = 100ms;
const Logger Log("billing");
} // namespace

Billing::Billing(LogService &log, PeerNetwork &network, Roster &roster, KeptStore &kept,
                 std::size_t capacity, const Clock &clock)
    : m_log(log)
    , m_network(network)
    , m_roster(roster)
    , m_kept(kept)
    , m_capacity(capacity)
    , m_clock(clock)
{
}

bool Billing::hasRoom() const
{
    std::lock_guard lock(m_mutex);
    return m_pending.size() < m_capacity;
}

std::size_t Billing::pending() const
{
    std::lock_guard lock(m_mutex);
    return m_pending.size();
}

bool Billing::record(const BillRecord &bill, std::vector<KeptRecord> alongside, TimePoint now)
{
    Pending pending{encodeBill(bill), {}, {}};
    for (KeptRecord &record : alongside) {
        record.owner = m_roster.self();
    }
    m_kept.put(alongside, now);
    alongside.push_back(
        {KeptKind::Bill, bill.key.value(), m_roster.self(), pending.data, m_roster.startId()});
    const bool copied = copyToPeers(alongside, pending, now);
    {
        std::lock_guard lock(m_mutex);
        m_pending[bill.key.value()] = pending;
    }
    if (copied) {
        return true;
    }
    // No peer confirmed a replica, so the response waits for the log.
    return flush(now);
}

bool Billing::copyToPeers(const std::vector<KeptRecord> &records, Pending &pending, TimePoint now)
{
    const std::vector<InstanceId> candidates =
        chooseKeepers(m_roster, records.back().key, Copies + Spares, now);
    const auto part = [&](std::size_t from, std::size_t until) {
        const auto at = [&](std::size_t index) {
            return candidates.begin()
                + static_cast<std::ptrdiff_t>(std::min(index, candidates.size()));
        };
        return std::vector<InstanceId>(at(from), at(until));
    };
    sendCopies(part(0, Copies), records, pending);
    if (pending.keepers.size() < Copies) {
        sendCopies(part(Copies, Copies + Spares), records, pending);
    }
    return !pending.keepers.empty();
}

void Billing::sendCopies(const std::vector<InstanceId> &keepers,
                         const std::vector<KeptRecord> &records, Pending &pending)
{
    const auto isBill = [](const KeptRecord &record) { return record.kind == KeptKind::Bill; };
    const auto answers = m_network.keepAll(keepers, records);
    pending.asked.insert(pending.asked.end(), keepers.begin(), keepers.end());
    for (std::size_t i = 0; i < answers.size(); ++i) {
        // A peer returns the bills that its store has no capacity for.
        const bool kept = answers[i].ok()
            && std::none_of(answers[i].value().begin(), answers[i].value().end(), isBill);
        if (kept) {
            pending.keepers.push_back(keepers[i]);
        }
    }
}

bool Billing::flush(TimePoint now)
{
    std::lock_guard flushing(m_flushMutex);
    std::map<std::string, Pending> batch;
    std::vector<std::string> records;
    {
        std::lock_guard lock(m_mutex);
        for (const auto &[key, pending] : m_pending) {
            if (batch.size() == MaxBatch) {
                break;
            }
            batch[key] = pending;
            records.push_back(pending.data);
        }
    }
    if (batch.empty()) {
        sendDrops();
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
    dropCopies(batch);
    return true;
}

void Billing::dropCopies(const std::map<std::string, Pending> &appended)
{
    for (const auto &[key, pending] : appended) {
        for (const InstanceId &keeper : pending.asked) {
            m_toDrop[keeper].push_back(key);
        }
    }
    sendDrops();
}

void Billing::sendDrops()
{
    for (auto it = m_toDrop.begin(); it != m_toDrop.end();) {
        const auto &[keeper, keys] = *it;
        const bool gone = !m_roster.isMember(keeper) || keys.size() > m_capacity;
        // A replica that is not deleted is appended by its holder later. Readers drop that
        // duplicate.
        if (gone || !m_network.dropKept(keeper, KeptKind::Bill, keys)) {
            it = m_toDrop.erase(it);
        } else {
            ++it;
        }
    }
}

void Billing::takeOver(TimePoint now)
{
    std::vector<std::string> keys;
    std::vector<std::string> records;
    for (const KeptRecord &record : m_kept.storedBefore(KeptKind::Bill, now - TakeOverDelay)) {
        const bool alive = m_roster.isRunAlive(record.owner, record.ownerStart, now);
        if (!alive && records.size() < MaxBatch) {
            keys.push_back(record.key);
            records.push_back(record.data);
        }
    }
    for (const KeptRecord &record : m_kept.storedBefore(KeptKind::Bill, now - LongestHold)) {
        if (records.size() < MaxBatch) {
            keys.push_back(record.key);
            records.push_back(record.data);
        }
    }
    if (records.empty() || !m_log.append(Streams::Billing, records).ok()) {
        return;
    }
    m_kept.drop(KeptKind::Bill, keys);
    Log.info("Appended " + std::to_string(records.size()) + " bills held for other daemons.");
}

std::size_t Billing::drain(Duration limit)
{
    std::size_t alone = 0;
    for (Duration waited{}; waited < limit; waited += DrainPoll) {
        if (flush(m_clock.now()) && pending() == 0) {
            return 0;
        }
        alone = 0;
        {
            std::lock_guard lock(m_mutex);
            for (const auto &[key, pending] : m_pending) {
                alone += pending.keepers.empty() ? 1 : 0;
            }
        }
        if (alone == 0) {
            return 0;
        }
        std::this_thread::sleep_for(DrainPoll);
    }
    return alone;
}

} // namespace lycheearch
