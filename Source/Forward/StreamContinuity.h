#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "Forward/EventSplitter.h"
#include "Net/HttpHead.h"

namespace lycheearch {

/// Decides what may become part of an event stream that a caller receives, and which attempt may go
/// on with it. A stream that has begun ends in one of three ways: complete, joined by another run
/// that goes on after the last event, or cut so that the caller notices. Whatever else a server
/// sends meanwhile ends its attempt.
class StreamContinuity
{
public:
    enum class EventUse {
        Relay,
        Skip, ///< The caller has it already, from before this request.
        Misplaced, ///< It does not follow the events before it: the answer is broken.
    };

    /// \p lastEventId is the event after which the caller resumes an earlier stream, if it does.
    explicit StreamContinuity(std::optional<std::int64_t> lastEventId);

    /// The event after which another run goes on.
    std::optional<std::int64_t> lastEventId() const { return m_lastEventId; }
    bool begun() const { return m_begun; }
    /// Whether another run can go on: nothing was relayed yet, or the last event can be named.
    bool canContinue() const { return !m_begun || m_eventsHaveIds; }

    /// A successful response of a server begins. Returns whether its events may be relayed: a
    /// stream that has begun is joined only by one of the same media type.
    bool beginAttempt(const HttpResponseHead &head);
    /// Decides on the next event of the attempt, in order. What is relayed counts as received.
    EventUse use(const StreamEvent &event);
    /// Whether the stream is complete if the attempt's answer ends at the end of an event. An
    /// answer without events completes a stream that has begun only if \p endMarked: its framing,
    /// and not the end of the connection, tells its end.
    bool completes(bool endMarked) const;

private:
    std::optional<std::int64_t> m_lastEventId;
    std::string m_mediaType; ///< Of the stream that has begun.
    std::string m_attemptMediaType;
    bool m_begun = false;
    bool m_eventsHaveIds = false; ///< Those that were relayed.
    bool m_attemptHasEvents = false;
};

} // namespace lycheearch
