#include "Journal.h"

#include <nlohmann/json.hpp>

namespace lycheearch::standin {

void Journal::add(JournalEntry entry)
{
    entry.atMicroseconds = SystemClock().wallTime().time_since_epoch().count();
    std::lock_guard lock(m_mutex);
    m_entries.push_back(std::move(entry));
}

void Journal::clear()
{
    std::lock_guard lock(m_mutex);
    m_entries.clear();
}

std::string Journal::text(std::size_t first) const
{
    nlohmann::json list = nlohmann::json::array();
    std::lock_guard lock(m_mutex);
    for (std::size_t i = first; i < m_entries.size(); ++i) {
        const JournalEntry &entry = m_entries[i];
        list.push_back({{"at_us", entry.atMicroseconds},
                        {"backend", entry.backend},
                        {"data_centre", entry.dataCentre},
                        {"request_id", entry.request},
                        {"subject", entry.subject},
                        {"effect", entry.effect},
                        {"in_flight", entry.inFlight},
                        {"cold", entry.cold},
                        {"over_cold_limit", entry.overColdLimit},
                        {"resumed_from", entry.resumedFrom}});
    }
    return nlohmann::json{{"entries", list}}.dump();
}

} // namespace lycheearch::standin
