#pragma once

#include <cstddef>
#include <string>

#include "Base/Metrics.h"
#include "Log/StructuredLog.h"

namespace lycheearch {

/// How long a connection was at rest when this daemon closed it, and the limit that applied.
struct ConnectionRest
{
    Duration duration{}; ///< Since the last response or since the connection was accepted.
    Duration limit{}; ///< Of the configuration when the rest began.
    Duration limitNow{}; ///< Of the present configuration.
};

/// What happened around the close of a caller's connection by this daemon: what the caller had sent
/// before that was not read, and what it sent afterwards. One log line and a counter tell it.
class ConnectionClosure
{
public:
    /// The daemon closes the connection. \p unread: bytes received that nobody has read.
    void begin(const char *why, const ConnectionRest &rest, std::size_t unread, TimePoint now);
    /// The caller sent \p bytes after that, which are dropped.
    void onDropped(std::size_t bytes, TimePoint now);
    /// Writes the line and counts. Does nothing without begin(). Lines on connections whose caller
    /// lost nothing are routine ones. \p id is that of the latest request.
    void report(const std::string &id, StructuredLog &log, Metrics &metrics, TimePoint now) const;

private:
    const char *m_why = nullptr;
    ConnectionRest m_rest;
    std::size_t m_unread = 0;
    std::size_t m_dropped = 0;
    TimePoint m_begunAt;
    TimePoint m_firstDroppedAt;
};

} // namespace lycheearch
