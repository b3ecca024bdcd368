#include "Request/InFlightTable.h"

namespace lycheearch {

std::optional<InFlightTable::Ending> InFlightTable::enter(const RequestKey &key)
{
    std::lock_guard lock(m_mutex);
    const auto found = m_running.find(key);
    if (found != m_running.end()) {
        return found->second.ending;
    }
    Running &running = m_running[key];
    running.ending = running.promise.get_future().share();
    return std::nullopt;
}

void InFlightTable::leave(const RequestKey &key, const FinishedAnswer &answer)
{
    std::lock_guard lock(m_mutex);
    const auto found = m_running.find(key);
    if (found != m_running.end()) {
        found->second.promise.set_value(answer);
        m_running.erase(found);
    }
}

bool InFlightTable::contains(const RequestKey &key) const
{
    std::lock_guard lock(m_mutex);
    return m_running.contains(key);
}

} // namespace lycheearch
