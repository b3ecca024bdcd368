#pragma once

#include "Base/Time.h"

namespace lycheearch {

/// Decides which requests a daemon still admits during its shutdown. Handles clients that keep
/// their connections open, and load balancers that keep opening new ones while many daemons shut
/// down at once.
class ShutdownPolicy
{
public:
    /// Starts the shutdown. The process must exit \p grace after \p now.
    void begin(Duration grace, TimePoint now);
    bool stopping() const { return m_stopping; }
    /// Time since the shutdown began.
    Duration elapsed(TimePoint now) const { return now - m_beganAt; }
    /// Whether a request that may take up to \p maxDuration is still admitted. One that may outlast
    /// the grace period is admitted early in it only, and only if it is \p retryable: it would be
    /// terminated while it may have been executed.
    bool admits(Duration maxDuration, bool retryable, TimePoint now) const;
    /// Whether the remaining requests must be terminated, since the grace period is about to end.
    bool mustTerminate(TimePoint now) const;
    /// Whether the process must exit now, once terminated requests had the time to send a response.
    bool mustExit(TimePoint now) const;

private:
    bool m_stopping = false;
    TimePoint m_beganAt;
    Duration m_grace{};
};

} // namespace lycheearch
