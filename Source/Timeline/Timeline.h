#pragma once

#include <mutex>
#include <string>
#include <vector>

#include <boost/circular_buffer.hpp>

#include "Base/Time.h"
#include "Timeline/TimelineEvent.h"

namespace lycheearch {

/// The latest events of this process, in causal order with those of its peers. Safe for use by
/// many threads.
class Timeline
{
public:
    Timeline(InstanceId instance, std::size_t capacity, HybridClock &hybridClock,
             const Clock &clock);

    /// Stamps and stores an event.
    void record(TimelineEvent event);
    /// Events of a request, or all if it is empty, oldest first.
    std::vector<TimelineEvent> events(const RequestId &request) const;

private:
    InstanceId m_instance;
    HybridClock &m_hybridClock;
    const Clock &m_clock;
    mutable std::mutex m_mutex;
    boost::circular_buffer<TimelineEvent> m_events;
};

std::string encodeTimeline(const std::vector<TimelineEvent> &events);
/// Skips what is no event.
std::vector<TimelineEvent> decodeTimeline(const std::string &text);
/// Joins the events of many processes in causal order.
std::vector<TimelineEvent> mergeTimelines(std::vector<std::vector<TimelineEvent>> parts);

} // namespace lycheearch
