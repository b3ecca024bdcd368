#include "Fleet/FleetFollower.h"

#include <algorithm>

// The part of FleetFollower that deals with a store that comes back from an older copy.

namespace lycheearch {

bool FleetFollower::listedInEra(Topic topic) const
{
    const auto found = m_cursors.find(topic);
    return found != m_cursors.end() && found->second.listed && !found->second.listing
        && found->second.era == m_era;
}

bool FleetFollower::admitEra(Topic topic, StoreEra era, TimePoint now)
{
    if (era > m_era) {
        const bool firstAnswer =
            std::none_of(m_cursors.begin(), m_cursors.end(),
                         [](const auto &entry) { return entry.second.listed; });
        if (firstAnswer) {
            m_era = era;
            return true;
        }
        enterEra(era, now);
        return false;
    }
    if (era == m_era) {
        return true;
    }
    // The answer was under way while the era changed.
    schedule(topic, m_timing.retryDelay);
    return false;
}

void FleetFollower::enterEra(StoreEra era, TimePoint now)
{
    m_observer.onStoreEra(m_era, era, now);
    m_era = era;
    m_settledAt = now + EraSettleTime;
    for (const Topic topic : AllTopics) {
        Cursor &cursor = m_cursors[topic];
        cursor.next = Offset();
        cursor.end = Offset();
        cursor.era = era;
        cursor.listing = true;
        cursor.afterKey.clear();
        cursor.partialListing = RecordPage();
        m_mirror.clear(topic);
        if (!m_followingFeed) {
            pollNow(topic);
        }
    }
    m_loop.cancel(m_settleTimer);
    m_settleTimer = m_loop.at(m_settledAt, [this](TimePoint) {
        m_settleTimer = TimerId();
        relist(Topic::Operator);
        relist(Topic::Backends);
    });
}

bool FleetFollower::mayBeOlder(Topic topic, const FleetRecord &record, TimePoint now) const
{
    if (topic != Topic::Operator || !settling(now)) {
        return false;
    }
    // The view itself keeps the newest configuration, by its version. Orders have none.
    return !std::holds_alternative<ConfigPublished>(record)
        && !std::holds_alternative<ConfigOutdated>(record);
}

} // namespace lycheearch
