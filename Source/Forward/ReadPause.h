#pragma once

#include <algorithm>
#include <optional>

#include "Base/Time.h"

namespace lycheearch {

/// When the reading of one response rested because its caller didn't read. Tells whether what then
/// becomes of the response may be the caller's doing and says nothing of the server.
class ReadPause
{
public:
    /// No server cuts off a response that remained unread for less.
    static constexpr Duration ShortestUnread = 1s;

    void begin(TimePoint now) { m_since = m_since.value_or(now); }
    void end(TimePoint now)
    {
        if (m_since) {
            m_longest = std::max(m_longest, now - *m_since);
            m_any = true;
        }
        m_since.reset();
    }

    bool resting() const { return m_since.has_value(); }
    /// Whether reading has rested at all, so that times of arrival are not the server's.
    bool distortsTimes() const { return m_since.has_value() || m_any; }
    /// Whether a server may have cut the response off because it remained unread. It shows only
    /// once reading goes on.
    bool explainsLoss() const { return m_since.has_value() || m_longest >= ShortestUnread; }
    Duration longest(TimePoint now) const
    {
        return m_since ? std::max(m_longest, now - *m_since) : m_longest;
    }

private:
    std::optional<TimePoint> m_since;
    Duration m_longest{};
    bool m_any = false;
};

} // namespace lycheearch
