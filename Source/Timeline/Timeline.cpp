#include "Timeline/Timeline.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace lycheearch {

Timeline::Timeline(InstanceId instance, std::size_t capacity, HybridClock &hybridClock,
                   const Clock &clock)
    : m_instance(std::move(instance))
    , m_hybridClock(hybridClock)
    , m_clock(clock)
    , m_events(capacity)
{
}

void Timeline::record(TimelineEvent event)
{
    event.time = m_hybridClock.tick(m_clock.wallTime());
    event.instance = m_instance;
    std::lock_guard lock(m_mutex);
    m_events.push_back(std::move(event));
}

std::vector<TimelineEvent> Timeline::events(const RequestId &request) const
{
    std::lock_guard lock(m_mutex);
    std::vector<TimelineEvent> found;
    for (const TimelineEvent &event : m_events) {
        if (request.empty() || event.request == request) {
            found.push_back(event);
        }
    }
    return found;
}

std::string encodeTimeline(const std::vector<TimelineEvent> &events)
{
    nlohmann::json list = nlohmann::json::array();
    for (const TimelineEvent &event : events) {
        list.push_back({{"time", event.time},
                        {"instance", event.instance.value()},
                        {"kind", event.kind},
                        {"request", event.request.value()},
                        {"session", event.session.value()},
                        {"backend", event.backend.value()},
                        {"version", event.version.value()},
                        {"data_centre", event.dataCentre.value()},
                        {"detail", event.detail}});
    }
    return nlohmann::json{{"events", list}}.dump(-1, ' ', false,
                                                 nlohmann::json::error_handler_t::replace);
}

std::vector<TimelineEvent> decodeTimeline(const std::string &text)
{
    std::vector<TimelineEvent> events;
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("events") || !json["events"].is_array()) {
        return events;
    }
    for (const auto &item : json["events"]) {
        try {
            TimelineEvent event;
            event.time = item.at("time").get<HybridTime>();
            event.instance = InstanceId(item.at("instance").get<std::string>());
            event.kind = item.at("kind").get<std::string>();
            event.request = RequestId(item.value("request", ""));
            event.session = SessionId(item.value("session", ""));
            event.backend = InstanceId(item.value("backend", ""));
            event.version = VersionId(item.value("version", ""));
            event.dataCentre = DataCentreId(item.value("data_centre", ""));
            event.detail = item.value("detail", "");
            events.push_back(std::move(event));
        } catch (const nlohmann::json::exception &) {
            continue;
        }
    }
    return events;
}

std::vector<TimelineEvent> mergeTimelines(std::vector<std::vector<TimelineEvent>> timelines)
{
    std::vector<TimelineEvent> merged;
    for (auto &timeline : timelines) {
        merged.insert(merged.end(), std::make_move_iterator(timeline.begin()),
                      std::make_move_iterator(timeline.end()));
    }
    std::stable_sort(merged.begin(), merged.end(),
                     [](const TimelineEvent &left, const TimelineEvent &right) {
                         return left.time != right.time ? left.time < right.time
                                                        : left.instance < right.instance;
                     });
    return merged;
}

} // namespace lycheearch
