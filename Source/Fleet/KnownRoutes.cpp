#include "Fleet/KnownRoutes.h"

#include <xxhash.h>

namespace lycheearch {

std::size_t KnownRoutes::TextHash::operator()(std::string_view text) const
{
    return XXH3_64bits(text.data(), text.size());
}

KnownRoutes::KnownRoutes(std::unique_ptr<const std::string> record, std::vector<Entry> entries)
    : m_record(std::move(record))
    , m_entries(std::move(entries))
{
}

const KnownRoutes::Entry *KnownRoutes::findNext(std::string_view rest)
{
    if (m_next >= m_entries.size() || !rest.starts_with(m_entries[m_next].text)) {
        return nullptr;
    }
    return &m_entries[m_next++];
}

const KnownRoutes::Entry *KnownRoutes::find(std::string_view text)
{
    if (m_indices.empty()) {
        m_indices.reserve(m_entries.size());
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            m_indices.emplace(m_entries[i].text, i);
        }
    }
    const auto found = m_indices.find(text);
    // A route that is not known replaces the one that was expected, in most cases.
    m_next = found == m_indices.end() ? m_next + 1 : found->second + 1;
    return found == m_indices.end() ? nullptr : &m_entries[found->second];
}

} // namespace lycheearch
