#include "Feed/LoadChanges.h"

namespace lycheearch {

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

} // namespace lycheearch
