#include "Request/InFlightTable.h"

namespace lycheearch {

std::optional<InFlightTable::AnswerFuture> InFlightTable::registerRequest(const RequestKey &key)
{
    std::lock_guard lock(m_mutex);
    const auto found = m_running.find(key);
    if (found != m_running.end()) {
        return found->second.future;
    }
    Entry &running = m_running[key];
    running.future = running.promise.get_future().share();
    return std::nullopt;
}

void InFlightTable::complete(const RequestKey &key, const FinishedAnswer &answer)
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
