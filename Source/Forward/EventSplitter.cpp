#include "Forward/EventSplitter.h"

#include "Net/HttpHead.h"

namespace lycheearch {

namespace {

constexpr std::size_t MaxEventBytes = 1024UL * 1024;

std::optional<std::int64_t> parseEventId(std::string_view event)
{
    constexpr std::string_view prefix = "id:";
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (line.starts_with(prefix)) {
            return parseNumber(trimmed(line.substr(prefix.size())));
        }
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
    }
    return std::nullopt;
}

/// Whether each line of the event is a comment, which begins with a colon.
bool isComment(std::string_view event)
{
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        const std::string_view line = event.substr(0, end);
        if (!line.empty() && line != "\r" && !line.starts_with(':')) {
            return false;
        }
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
    }
    return true;
}

/// The length of the first event, including the blank line that ends it, or npos.
std::size_t endOfEvent(std::string_view text)
{
    constexpr std::string_view blankLine = "\n\n";
    constexpr std::string_view crlfBlankLine = "\r\n\r\n";
    const std::size_t lfPosition = text.find(blankLine);
    const std::size_t crlfPosition = text.find(crlfBlankLine);
    if (lfPosition == std::string_view::npos && crlfPosition == std::string_view::npos) {
        return std::string_view::npos;
    }
    return lfPosition < crlfPosition ? lfPosition + blankLine.size()
                                     : crlfPosition + crlfBlankLine.size();
}

} // namespace

bool EventSplitter::feed(std::string_view bytes, std::vector<StreamEvent> &events)
{
    m_pending.append(bytes);
    std::size_t consumed = 0;
    while (true) {
        const std::size_t length = endOfEvent(std::string_view(m_pending).substr(consumed));
        if (length == std::string_view::npos) {
            break;
        }
        StreamEvent event;
        event.bytes = m_pending.substr(consumed, length);
        event.id = parseEventId(event.bytes);
        event.comment = isComment(event.bytes);
        events.push_back(std::move(event));
        consumed += length;
    }
    m_pending.erase(0, consumed);
    return m_pending.size() <= MaxEventBytes;
}

} // namespace lycheearch
