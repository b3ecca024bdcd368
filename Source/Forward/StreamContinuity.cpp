#include "Forward/StreamContinuity.h"

namespace lycheearch {

namespace {

/// The media type of a message, without parameters.
std::string mediaType(const HttpFields &fields)
{
    const std::string *value = fields.find("Content-Type");
    return value == nullptr
        ? std::string()
        : std::string(trimmed(std::string_view(*value).substr(0, value->find(';'))));
}

} // namespace

StreamContinuity::StreamContinuity(std::optional<std::int64_t> lastEventId)
    : m_lastEventId(lastEventId)
{
}

bool StreamContinuity::beginAttempt(const HttpResponseHead &head)
{
    m_attemptHasEvents = false;
    m_attemptMediaType = mediaType(head.fields);
    return !m_begun || equalIgnoringCase(m_attemptMediaType, m_mediaType);
}

StreamContinuity::EventUse StreamContinuity::use(const StreamEvent &event)
{
    if (event.comment) {
        return m_begun ? EventUse::Relay : EventUse::Skip;
    }
    if (event.id && m_lastEventId && *event.id <= *m_lastEventId) {
        return m_begun ? EventUse::Misplaced : EventUse::Skip;
    }
    if (m_begun && event.id.has_value() != m_eventsHaveIds) {
        return EventUse::Misplaced;
    }
    if (!m_begun) {
        m_begun = true;
        m_mediaType = m_attemptMediaType;
        m_eventsHaveIds = event.id.has_value();
    }
    m_attemptHasEvents = true;
    m_lastEventId = event.id ? event.id : m_lastEventId;
    return EventUse::Relay;
}

bool StreamContinuity::completes(bool endMarked) const
{
    return m_begun && (m_attemptHasEvents || endMarked);
}

} // namespace lycheearch
