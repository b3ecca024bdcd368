#pragma once

#include "Base/Time.h"

namespace lycheearch {

/// Decides what a stopping daemon still takes on. Answers to: callers whose connections stay open,
/// and a balancer that goes on sending new ones while many daemons stop at once.
class StopPolicy
{
public:
    /// The process must end \p grace after \p now.
    void begin(Duration grace, TimePoint now);
    bool stopping() const { return m_stopping; }
    /// Time since the stop began.
    Duration elapsed(TimePoint now) const { return now - m_since; }
    /// Whether a request that may take up to \p longest is still taken on.
    bool admits(Duration longest, TimePoint now) const;
    /// Whether what still runs must be broken off, since the process is about to be killed.
    bool mustEnd(TimePoint now) const;

private:
    bool m_stopping = false;
    TimePoint m_since;
    Duration m_grace{};
};

} // namespace lycheearch
