#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheearch {

/// One complete event of a server-sent event stream.
struct StreamEvent
{
    std::string bytes; ///< Including the blank line that ends it.
    std::optional<std::int64_t> id;
    /// All lines are comments, which servers send to keep a connection alive.
    bool comment = false;
};

/// Splits the bytes of a server-sent event stream into complete events. The work is linear in the
/// bytes, however they are divided into pieces.
class EventSplitter
{
public:
    /// Parses \p bytes and appends the events that are now complete to \p events. Returns false if
    /// the incomplete event at the end exceeds 1 MiB.
    bool feed(std::string_view bytes, std::vector<StreamEvent> &events);
    /// Whether the input so far ends at the end of an event.
    bool atBoundary() const { return m_pending.empty(); }
    void reset() { *this = EventSplitter(); }

private:
    std::string m_pending; ///< The event that is not complete.
    std::size_t m_searched = 0; ///< Bytes of \c m_pending that were searched for line ends.
    std::size_t m_lineStart = 0; ///< Where its last line begins.
};

} // namespace lycheearch
