#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Fleet/RoutingConfig.h"

namespace lycheearch {

/// The routes of one version of the configuration with the text that each was decoded from, so that
/// the next version decodes only routes whose text differs. Texts are compared in full: routes are
/// never confused. Lookups are fast in the order of the version; routes are found elsewhere, too.
class KnownRoutes
{
public:
    using SharedRoute = std::shared_ptr<const Route>;

    /// A route and its text.
    struct Entry
    {
        std::string_view text;
        SharedRoute route;
    };

    KnownRoutes() = default;
    /// \p record is the text that those of the entries are parts of.
    KnownRoutes(std::unique_ptr<const std::string> record, std::vector<Entry> entries);

    /// Begins a new comparison: the first route is expected next.
    void rewind() { m_next = 0; }
    /// The route that follows the one found last, if \p rest begins with its text; else null.
    /// The text of a route ends where its outermost bracket closes, so \p rest begins with no
    /// longer value.
    const Entry *findNext(std::string_view rest);
    /// The route with this text, or null.
    const Entry *find(std::string_view text);

private:
    struct TextHash
    {
        std::size_t operator()(std::string_view text) const;
    };

    std::unique_ptr<const std::string> m_record;
    std::vector<Entry> m_entries;
    std::size_t m_next = 0; ///< Index of the entry that is expected next.
    /// Indices of the entries by text; built when an entry is not where it is expected.
    std::unordered_map<std::string_view, std::size_t, TextHash> m_indices;
};

} // namespace lycheearch
