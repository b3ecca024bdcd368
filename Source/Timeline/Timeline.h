#pragma once

#include <mutex>
#include <string>
#include <vector>

#include <boost/circular_buffer.hpp>

#include "Base/Time.h"
#include "Timeline/TimelineEvent.h"

namespace lycheearch {

/// Ring buffer of the latest events of this process. The hybrid clock's timestamps put them in
/// causal order with the events of its peers. Thread-safe.
class Timeline
{
public:
    /// \p capacity is the number of events that are kept.
    Timeline(InstanceId instance, std::size_t capacity, HybridClock &hybridClock,
             const Clock &clock);

    /// Stores an event with the current hybrid time and this instance's id. Overwrites the oldest
    /// event if the buffer is full.
    void record(TimelineEvent event);
    /// Events of a request, or all events if \p request is empty; oldest first.
    std::vector<TimelineEvent> events(const RequestId &request) const;

private:
    InstanceId m_instance;
    HybridClock &m_hybridClock;
    const Clock &m_clock;
    mutable std::mutex m_mutex;
    boost::circular_buffer<TimelineEvent> m_events;
};

/// Encodes events as JSON.
std::string encodeTimeline(const std::vector<TimelineEvent> &events);
/// Decodes the output of encodeTimeline. Skips items that are not valid events; returns an empty
/// list if \p text is not valid JSON in this format.
std::vector<TimelineEvent> decodeTimeline(const std::string &text);
/// Merges the events of several processes into one list in causal order.
std::vector<TimelineEvent> mergeTimelines(std::vector<std::vector<TimelineEvent>> timelines);

} // namespace lycheearch
