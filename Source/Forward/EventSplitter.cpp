#include "Forward/EventSplitter.h"

#include "Base/StepCounter.h"
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

StreamEvent makeEvent(std::string bytes)
{
    StepCounter::add(bytes.size());
    StreamEvent event;
    event.id = parseEventId(bytes);
    event.comment = isComment(bytes);
    event.bytes = std::move(bytes);
    return event;
}

} // namespace

bool EventSplitter::feed(std::string_view bytes, std::vector<StreamEvent> &events)
{
    m_pending.append(bytes);
    StepCounter::add(m_pending.size() - m_searched);
    std::size_t eventStart = 0;
    for (std::size_t lineEnd = m_pending.find('\n', m_searched); lineEnd != std::string::npos;
         lineEnd = m_pending.find('\n', m_lineStart)) {
        const std::string_view line =
            std::string_view(m_pending).substr(m_lineStart, lineEnd - m_lineStart);
        const bool endsEvent = m_lineStart > eventStart && (line.empty() || line == "\r");
        m_lineStart = lineEnd + 1;
        if (endsEvent) {
            events.push_back(makeEvent(m_pending.substr(eventStart, m_lineStart - eventStart)));
            eventStart = m_lineStart;
        }
    }
    m_pending.erase(0, eventStart);
    m_lineStart -= eventStart;
    m_searched = m_pending.size();
    return m_pending.size() <= MaxEventBytes;
}

} // namespace lycheearch
