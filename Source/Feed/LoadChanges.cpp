#include "Feed/LoadChanges.h"

#include <algorithm>

#include "Feed/FeedTiming.h"

namespace lycheearch {

namespace {

/// Bytes per second that the totals of a source may take before they are sent less often: two
/// fifths of a link of 10 Mbit/s, which also carries requests and responses.
constexpr double MaxBytesPerSecond = 500'000;
/// Weight of the newest total in the moving average of their bytes.
constexpr double BytesSmoothing = 0.2;

} // namespace

void FollowedLoads::apply(const FeedLoad &message, const BackendLoads &ownReported)
{
    m_changedOthers.clear();
    if (message.changesOnly) {
        applyChangedLoads(m_total, message.loads);
        m_changedOthers = message.loads;
        for (const auto &[id, load] : changedLoads(m_own, ownReported)) {
            const auto total = m_total.find(id);
            m_changedOthers.emplace(id,
                                    total == m_total.end() ? BackendLoadShare() : total->second);
        }
        subtractLoads(m_changedOthers, ownReported);
    } else {
        m_total = message.loads;
    }
    m_own = ownReported;
}

BackendLoads FollowedLoads::others() const
{
    BackendLoads others = m_total;
    subtractLoads(others, m_own);
    return others;
}

LoadBroadcastPeriod::LoadBroadcastPeriod()
    : m_period(LoadPeriod)
{
}

void LoadBroadcastPeriod::onSent(std::size_t bytes)
{
    m_bytes += BytesSmoothing * (static_cast<double>(bytes) - m_bytes);
    const auto needed = std::chrono::duration<double>(m_bytes / MaxBytesPerSecond);
    m_period = std::clamp(std::chrono::duration_cast<Duration>(needed), LoadPeriod, MaxLoadPeriod);
}

} // namespace lycheearch
