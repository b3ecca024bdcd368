#include "Forward/ConnectionClosure.h"

namespace lycheearch {

void ConnectionClosure::begin(const char *why, const ConnectionRest &rest, std::size_t unread,
                              TimePoint now)
{
    m_why = why;
    m_rest = rest;
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
    const bool harmless = m_unread == 0 && m_dropped == 0;
    metrics.count("lycheearch_caller_connections_closed_total",
                  std::string("why=\"") + m_why + "\",bytes_left=\"" + (harmless ? "no" : "yes")
                      + "\"");
    if (harmless && !log.admitRoutineLine(now)) {
        return;
    }
    log.write(harmless ? LogPriority::Routine : LogPriority::Notable,
              LogLine("caller.closed")
                  .add("id", id)
                  .add("why", m_why)
                  .add("rest_ms", m_rest.duration)
                  .add("limit_ms", m_rest.limit)
                  .add("limit_now_ms", m_rest.limitNow)
                  .add("unread", static_cast<std::int64_t>(m_unread))
                  .add("dropped", static_cast<std::int64_t>(m_dropped))
                  .add("dropped_after_ms",
                       m_dropped == 0 ? Duration(-1000) : m_firstDroppedAt - m_begunAt),
              now);
}

} // namespace lycheearch
