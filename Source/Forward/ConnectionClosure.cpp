#include "Forward/ConnectionClosure.h"

namespace lycheearch {

namespace {

/// Written if no bytes came after the close.
constexpr Duration NothingDropped = -1ms;

} // namespace

void ConnectionClosure::begin(const char *why, const IdleTime &idle, std::size_t unread,
                              TimePoint now)
{
    m_why = why;
    m_idle = idle;
    m_unread = unread;
    m_begunAt = now;
}

void ConnectionClosure::onDropped(std::size_t bytes, TimePoint now)
{
    if (m_dropped == 0) {
        m_firstDroppedAt = now;
    }
    m_dropped += bytes;
}

void ConnectionClosure::report(const std::string &id, StructuredLog &log, Metrics &metrics,
                               TimePoint now) const
{
    if (m_why == nullptr) {
        return;
    }
    const bool nothingLost = m_unread == 0 && m_dropped == 0;
    metrics.count("lycheearch_caller_connections_closed_total",
                  std::string("why=\"") + m_why + "\",bytes_left=\"" + (nothingLost ? "no" : "yes")
                      + "\"");
    if (nothingLost && !log.admitRoutineLine(now)) {
        return;
    }
    log.write(nothingLost ? LogPriority::Routine : LogPriority::Notable,
              LogLine("caller.closed")
                  .add("id", id)
                  .add("why", m_why)
                  .add("idle_ms", m_idle.duration)
                  .add("limit_ms", m_idle.limit)
                  .add("limit_now_ms", m_idle.limitNow)
                  .add("unread", static_cast<std::int64_t>(m_unread))
                  .add("dropped", static_cast<std::int64_t>(m_dropped))
                  .add("dropped_after_ms",
                       m_dropped == 0 ? NothingDropped : m_firstDroppedAt - m_begunAt),
              now);
}

} // namespace lycheearch
