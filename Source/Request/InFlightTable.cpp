#include "Request/InFlightTable.h"

namespace lycheearch {

std::optional<InFlightTable::ResultFuture> InFlightTable::registerRequest(const RequestKey &key)
{
    std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(key);
    if (found != m_entries.end()) {
        return found->second.future;
    }
    Entry &entry = m_entries[key];
    entry.future = entry.promise.get_future().share();
    return std::nullopt;
}

void InFlightTable::complete(const RequestKey &key, const RequestResult &result)
{
    std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(key);
    if (found != m_entries.end()) {
        found->second.promise.set_value(result);
        m_entries.erase(found);
    }
}

bool InFlightTable::contains(const RequestKey &key) const
{
    std::lock_guard lock(m_mutex);
    return m_entries.contains(key);
}

} // namespace lycheearch
