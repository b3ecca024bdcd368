#include "Tool/RequestTrace.h"

#include <algorithm>
#include <istream>

#include <Poco/DateTime.h>
#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/DateTimeParser.h>
#include <Poco/Exception.h>

namespace lycheearch {

namespace {

/// How long before the request's first line a change of the daemon's state may explain its outcome.
constexpr int DaemonEventLookbackSeconds = 30;
/// Allows for clock differences between instances, and for server failures that are noticed late.
constexpr int LookaheadSeconds = 5;
/// Events of a backend server are relevant only close to the request.
constexpr int BackendEventLookbackSeconds = 5;

/// Returns \p time plus \p seconds in the same format, or \p time unchanged if it is malformed.
std::string addSeconds(const std::string &time, int seconds)
{
    try {
        int zone = 0;
        Poco::DateTime parsed =
            Poco::DateTimeParser::parse(Poco::DateTimeFormat::ISO8601_FRAC_FORMAT, time, zone);
        parsed += Poco::Timespan(seconds, 0);
        return Poco::DateTimeFormatter::format(parsed, "%Y-%m-%dT%H:%M:%S.%iZ");
    } catch (const Poco::SyntaxException &) {
        return time; // Without a valid time, the window starts or ends at the line itself.
    }
}

bool belongsTo(const ParsedLogLine &line, const std::string &id)
{
    return line.field("id") == id;
}

/// Whether a line is about the daemon as a whole rather than one request or server.
bool isDaemonEvent(const ParsedLogLine &line)
{
    static const std::set<std::string> prefixes = {"process",     "store",   "feed",     "config",
                                                   "data_centre", "rollout", "settings", "reach"};
    return prefixes.contains(line.event.substr(0, line.event.find('.')));
}

bool isBackendEvent(const ParsedLogLine &line)
{
    return line.event == "backend.seen" || line.event == "backend.gone"
        || line.event == "link.lost";
}

} // namespace

void RequestTrace::read(std::istream &input)
{
    std::string text;
    while (std::getline(input, text)) {
        if (auto line = parseLogLine(text)) {
            m_lines.push_back(std::move(*line));
        }
    }
    std::stable_sort(m_lines.begin(), m_lines.end(),
                     [](const ParsedLogLine &left, const ParsedLogLine &right) {
                         return left.time < right.time;
                     });
}

std::vector<ParsedLogLine> RequestTrace::requestLines(const std::string &id) const
{
    std::vector<ParsedLogLine> matching;
    std::copy_if(m_lines.begin(), m_lines.end(), std::back_inserter(matching),
                 [&](const ParsedLogLine &line) { return belongsTo(line, id); });
    return matching;
}

std::vector<ParsedLogLine> RequestTrace::context(const std::string &id) const
{
    const std::vector<ParsedLogLine> matching = requestLines(id);
    std::vector<ParsedLogLine> found;
    if (matching.empty()) {
        return found;
    }
    std::set<std::string> instances;
    std::set<std::string> backends;
    for (const ParsedLogLine &line : matching) {
        instances.insert(line.instance);
        backends.insert(line.field("backend"));
    }
    backends.erase("");
    const std::string from = addSeconds(matching.front().time, -DaemonEventLookbackSeconds);
    const std::string backendsFrom =
        addSeconds(matching.front().time, -BackendEventLookbackSeconds);
    const std::string until = addSeconds(matching.back().time, LookaheadSeconds);
    for (const ParsedLogLine &line : m_lines) {
        const bool daemonEvent =
            line.time >= from && isDaemonEvent(line) && instances.contains(line.instance);
        const bool backendEvent = line.time >= backendsFrom && isBackendEvent(line)
            && backends.contains(line.field("backend"));
        if (!belongsTo(line, id) && line.time <= until && (daemonEvent || backendEvent)) {
            found.push_back(line);
        }
    }
    return found;
}

std::string requestSummary(const std::vector<ParsedLogLine> &requestLines)
{
    const auto done =
        std::find_if(requestLines.rbegin(), requestLines.rend(), [](const ParsedLogLine &line) {
            return line.event == "request.done" || line.event == "request.refused";
        });
    if (done == requestLines.rend()) {
        return "The end of the request is not logged: the daemon failed, or the line was dropped.";
    }
    std::string text = done->instance + " ended the request with status " + done->field("status")
        + " (" + done->field("cause") + ")";
    const auto moves =
        std::count_if(requestLines.begin(), requestLines.end(),
                      [](const ParsedLogLine &line) { return line.event == "hedge.moved"; });
    if (moves > 0) {
        text += ", sent to another server " + std::to_string(moves)
            + " times because the answer was late,";
    }
    if (!done->field("sends").empty()) {
        text +=
            " after " + done->field("sends") + " attempts and " + done->field("total_ms") + " ms";
    }
    return text + ".";
}

} // namespace lycheearch
