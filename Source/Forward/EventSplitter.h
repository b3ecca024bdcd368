#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheearch {

/// One whole event of an event stream.
struct StreamEvent
{
    std::string bytes; ///< With the blank line that ends it.
    std::optional<std::int64_t> id;
};

/// Cuts the bytes of an event stream into whole events.
class EventSplitter
{
public:
    /// Appends the events that \p bytes complete to \p events. Returns false once the part of an
    /// event that has no end yet is larger than any event.
    bool feed(std::string_view bytes, std::vector<StreamEvent> &events);
    /// Whether the stream stands between two events.
    bool atBoundary() const { return m_pending.empty(); }
    void reset() { m_pending.clear(); }

private:
    std::string m_pending;
};

} // namespace lycheearch
