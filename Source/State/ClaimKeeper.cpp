#include "State/ClaimKeeper.h"

namespace lycheearch {

ClaimKeeper::ClaimKeeper(Duration lifetime)
    : m_table(lifetime)
{
}

ClaimEntry ClaimKeeper::begin(const RequestKey &key, const ClaimId &claim, const InstanceId &self,
                              TimePoint now)
{
    std::lock_guard lock(m_mutex);
    return m_table.begin(key, claim, self, now);
}

ClaimAnswer ClaimKeeper::ask(const ClaimAsk &ask, const std::vector<InstanceId> &ownRoster,
                             TimePoint now)
{
    std::lock_guard lock(m_mutex);
    if (!m_complete) {
        ClaimAnswer answer;
        answer.reason = "the peer has not copied the claims of other daemons yet";
        return answer;
    }
    return m_table.ask(ask, ownRoster, now);
}

void ClaimKeeper::release(const RequestKey &key, const ClaimId &claim, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    m_table.release(key, claim, now);
}

void ClaimKeeper::finish(const RequestKey &key, const ClaimId &claim, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    m_table.finish(key, claim, now);
}

ClaimEntry ClaimKeeper::find(const RequestKey &key) const
{
    std::lock_guard lock(m_mutex);
    return m_table.find(key);
}

ClaimPhase ClaimKeeper::phaseOf(const RequestKey &key, const ClaimId &claim) const
{
    std::lock_guard lock(m_mutex);
    return m_table.phaseOf(key, claim);
}

std::vector<ClaimEntry> ClaimKeeper::entries() const
{
    std::lock_guard lock(m_mutex);
    return m_table.entries();
}

void ClaimKeeper::merge(const std::vector<ClaimEntry> &entries, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    m_table.merge(entries, now);
}

void ClaimKeeper::expire(TimePoint now)
{
    std::lock_guard lock(m_mutex);
    m_table.expire(now);
}

void ClaimKeeper::fold(const LogSlice &slice, TimePoint now)
{
    {
        std::lock_guard lock(m_mutex);
        for (const LogRecord &record : slice.records) {
            if (record.offset < m_nextOffset) {
                continue;
            }
            const auto claim = decodeClaimRecord(record.data);
            if (claim) {
                m_table.foldLog(record.offset, *claim, now);
            }
            m_nextOffset = record.offset.next();
        }
    }
    m_folded.notify_all();
}

Offset ClaimKeeper::foldedUpTo() const
{
    std::lock_guard lock(m_mutex);
    return m_nextOffset;
}

bool ClaimKeeper::waitFolded(Offset offset, Duration wait) const
{
    std::unique_lock lock(m_mutex);
    return m_folded.wait_for(lock, wait, [&] { return m_nextOffset > offset; });
}

std::optional<ClaimEntry> ClaimKeeper::logWinner(const RequestKey &key) const
{
    std::lock_guard lock(m_mutex);
    return m_table.logWinner(key);
}

void ClaimKeeper::setComplete()
{
    std::lock_guard lock(m_mutex);
    m_complete = true;
}

bool ClaimKeeper::complete() const
{
    std::lock_guard lock(m_mutex);
    return m_complete;
}

} // namespace lycheearch
