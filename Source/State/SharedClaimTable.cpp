#include "State/SharedClaimTable.h"

namespace lycheearch {

SharedClaimTable::SharedClaimTable(Duration lifetime)
    : m_table(lifetime)
{
}

ClaimEntry SharedClaimTable::begin(const RequestKey &key, const ClaimId &claim,
                                   const InstanceId &self, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    return m_table.begin(key, claim, self, now);
}

ClaimAnswer SharedClaimTable::ask(const ClaimAsk &ask, const std::vector<InstanceId> &memberIds,
                                  TimePoint now)
{
    std::lock_guard lock(m_mutex);
    if (!m_complete) {
        ClaimAnswer answer;
        answer.reason = "the peer has not copied the claims of other daemons yet";
        return answer;
    }
    return m_table.ask(ask, memberIds, now);
}

void SharedClaimTable::release(const RequestKey &key, const ClaimId &claim, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    m_table.release(key, claim, now);
}

void SharedClaimTable::finish(const RequestKey &key, const ClaimId &claim, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    m_table.finish(key, claim, now);
}

ClaimEntry SharedClaimTable::find(const RequestKey &key) const
{
    std::lock_guard lock(m_mutex);
    return m_table.find(key);
}

ClaimPhase SharedClaimTable::phaseOf(const RequestKey &key, const ClaimId &claim) const
{
    std::lock_guard lock(m_mutex);
    return m_table.phaseOf(key, claim);
}

std::vector<ClaimEntry> SharedClaimTable::entries() const
{
    std::lock_guard lock(m_mutex);
    return m_table.entries();
}

void SharedClaimTable::merge(const std::vector<ClaimEntry> &entries, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    m_table.merge(entries, now);
}

void SharedClaimTable::expire(TimePoint now)
{
    std::lock_guard lock(m_mutex);
    m_table.expire(now);
}

void SharedClaimTable::applySlice(const LogSlice &slice, TimePoint now)
{
    {
        std::lock_guard lock(m_mutex);
        for (const LogRecord &record : slice.records) {
            if (record.offset < m_nextOffset) {
                continue;
            }
            const auto claim = decodeClaimRecord(record.data);
            if (claim) {
                m_table.applyLogRecord(record.offset, *claim, now);
            }
            m_nextOffset = record.offset.next();
        }
    }
    m_applied.notify_all();
}

Offset SharedClaimTable::nextOffset() const
{
    std::lock_guard lock(m_mutex);
    return m_nextOffset;
}

bool SharedClaimTable::waitUntilApplied(Offset offset, Duration wait) const
{
    std::unique_lock lock(m_mutex);
    return m_applied.wait_for(lock, wait, [&] { return m_nextOffset > offset; });
}

std::optional<ClaimEntry> SharedClaimTable::logWinner(const RequestKey &key) const
{
    std::lock_guard lock(m_mutex);
    return m_table.logWinner(key);
}

void SharedClaimTable::setComplete()
{
    std::lock_guard lock(m_mutex);
    m_complete = true;
}

bool SharedClaimTable::complete() const
{
    std::lock_guard lock(m_mutex);
    return m_complete;
}

} // namespace lycheearch
