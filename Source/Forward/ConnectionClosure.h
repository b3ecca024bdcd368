#pragma once

#include <cstddef>
#include <string>

#include "Base/Metrics.h"
#include "Log/StructuredLog.h"

namespace lycheearch {

/// How long a connection was idle when this daemon closed it, and the limit that applied.
struct IdleTime
{
    Duration duration{}; ///< Since the last response or since the connection was accepted.
    Duration limit{}; ///< When the idle time began.
    Duration limitNow{}; ///< Of the present configuration.
};

/// Collects what was lost when this daemon closed a caller's connection: bytes received before that
/// were not read, and bytes received afterwards. Reported as one log line and a counter.
class ConnectionClosure
{
public:
    /// The daemon closes the connection with \p unread bytes received and not read.
    void begin(const char *why, const IdleTime &idle, std::size_t unread, TimePoint now);
    /// The caller sent \p bytes after that, which are dropped.
    void onDropped(std::size_t bytes, TimePoint now);
    /// Writes the line and counts. Does nothing without begin(). The line is a routine one if no
    /// bytes were lost. \p id is that of the latest request.
    void report(const std::string &id, StructuredLog &log, Metrics &metrics, TimePoint now) const;

private:
    const char *m_why = nullptr;
    IdleTime m_idle;
    std::size_t m_unread = 0;
    std::size_t m_dropped = 0;
    TimePoint m_begunAt;
    TimePoint m_firstDroppedAt;
};

} // namespace lycheearch
