#include "Tool/TimelineReport.h"

#include <algorithm>
#include <set>
#include <sstream>

#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>

namespace lycheearch {

namespace {

constexpr unsigned CounterBits = 16;
constexpr Poco::Timestamp::TimeVal MicrosecondsPerMillisecond = 1000;

std::string timeOfDay(HybridTime time)
{
    const auto milliseconds = static_cast<Poco::Timestamp::TimeVal>(time >> CounterBits);
    return Poco::DateTimeFormatter::format(
        Poco::Timestamp(milliseconds * MicrosecondsPerMillisecond), "%H:%M:%S.%i");
}

/// The request, version, backend server and data centre of an event, as far as it has them.
std::string subjectOf(const TimelineEvent &event)
{
    std::string text;
    for (const std::string &part : {event.request.value(), event.version.value(),
                                    event.backend.value(), event.dataCentre.value()}) {
        if (!part.empty()) {
            text += (text.empty() ? "" : " ") + part;
        }
    }
    return text;
}

std::string escapeHtml(const std::string &text)
{
    std::string safe;
    for (const char character : text) {
        switch (character) {
        case '<':
            safe += "&lt;";
            break;
        case '>':
            safe += "&gt;";
            break;
        case '&':
            safe += "&amp;";
            break;
        case '"':
            safe += "&quot;";
            break;
        default:
            safe += character;
        }
    }
    return safe;
}

const char *const HtmlPageStart = R"(<!doctype html><meta charset="utf-8"><title>Timeline</title>
<style>body{font:14px sans-serif;margin:2em;color:#222}table{border-collapse:collapse}
th{position:sticky;top:0;background:#fff;text-align:left;padding:.3em .8em;border-bottom:2px solid #888}
td{padding:.15em .8em;border-left:1px solid #ddd;vertical-align:top}
td.time{border:0;color:#777;font-variant-numeric:tabular-nums}
.event{border-left:4px solid #4a7;padding-left:.4em;background:#f4faf6}
.end{border-color:#47a;background:#f3f6fb}.version-stop{border-color:#c33;background:#fdf1f1}
.claim{border-color:#a73;background:#fbf7f0}.detail{color:#555}</style><table><tr><th>time</th>)";

} // namespace

std::string timelineText(const std::vector<TimelineEvent> &events)
{
    std::ostringstream out;
    for (const TimelineEvent &event : events) {
        out << timeOfDay(event.time) << "  " << event.instance.value() << "  " << event.kind << "  "
            << subjectOf(event) << ": " << event.detail << "\n";
    }
    return out.str();
}

std::string timelineHtml(const std::vector<TimelineEvent> &events)
{
    std::set<InstanceId> instances;
    for (const TimelineEvent &event : events) {
        instances.insert(event.instance);
    }
    std::ostringstream out;
    out << HtmlPageStart;
    for (const InstanceId &instance : instances) {
        out << "<th>" << escapeHtml(instance.value()) << "</th>";
    }
    out << "</tr>\n";
    for (const TimelineEvent &event : events) {
        out << "<tr><td class=time>" << timeOfDay(event.time) << "</td>";
        for (const InstanceId &instance : instances) {
            out << "<td>";
            if (instance == event.instance) {
                out << "<div class=\"event " << escapeHtml(event.kind) << "\"><b>"
                    << escapeHtml(event.kind) << "</b> " << escapeHtml(subjectOf(event))
                    << "<div class=detail>" << escapeHtml(event.detail) << "</div></div>";
            }
            out << "</td>";
        }
        out << "</tr>\n";
    }
    out << "</table>\n";
    return out.str();
}

} // namespace lycheearch
