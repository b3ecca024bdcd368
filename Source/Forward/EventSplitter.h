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

/// Splits the bytes of a server-sent event stream into complete events.
class EventSplitter
{
public:
    /// Parses \p bytes and appends the events that are now complete to \p events. Returns false if
    /// the incomplete event at the end exceeds 1 MiB.
    bool feed(std::string_view bytes, std::vector<StreamEvent> &events);
    /// Whether the input so far ends at the end of an event.
    bool atBoundary() const { return m_pending.empty(); }
    void reset() { m_pending.clear(); }

private:
    std::string m_pending;
};

} // namespace lycheearch
