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
constexpr int SecondsBefore = 30;
/// Allows for clock differences between instances, and for server failures that are noticed late.
constexpr int SecondsAfter = 5;
/// Events of a backend server are relevant only close to the request.
constexpr int SecondsBeforeForServers = 5;

/// Returns \p time plus \p seconds in the same format, or \p time unchanged if it is malformed.
std::string shifted(const std::string &time, int seconds)
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

bool isAbout(const ReadLogLine &line, const std::string &id)
{
    return line.field("id") == id;
}

/// Whether a line is about the daemon as a whole rather than one request or server.
bool isOwnState(const ReadLogLine &line)
{
    static const std::set<std::string> prefixes = {"process",     "store",   "feed",    "config",
                                                   "data_centre", "rollout", "settings"};
    return prefixes.contains(line.event.substr(0, line.event.find('.')));
}

bool isServerNews(const ReadLogLine &line)
{
    return line.event == "backend.seen" || line.event == "backend.gone"
        || line.event == "link.lost";
}

} // namespace

void RequestTrace::read(std::istream &input)
{
    std::string text;
    while (std::getline(input, text)) {
        if (auto line = readLogLine(text)) {
            m_lines.push_back(std::move(*line));
        }
    }
    std::stable_sort(
        m_lines.begin(), m_lines.end(),
        [](const ReadLogLine &left, const ReadLogLine &right) { return left.time < right.time; });
}

std::vector<ReadLogLine> RequestTrace::ownLines(const std::string &id) const
{
    std::vector<ReadLogLine> own;
    std::copy_if(m_lines.begin(), m_lines.end(), std::back_inserter(own),
                 [&](const ReadLogLine &line) { return isAbout(line, id); });
    return own;
}

std::vector<ReadLogLine> RequestTrace::context(const std::string &id) const
{
    const std::vector<ReadLogLine> own = ownLines(id);
    std::vector<ReadLogLine> found;
    if (own.empty()) {
        return found;
    }
    std::set<std::string> instances;
    std::set<std::string> servers;
    for (const ReadLogLine &line : own) {
        instances.insert(line.instance);
        servers.insert(line.field("backend"));
    }
    servers.erase("");
    const std::string from = shifted(own.front().time, -SecondsBefore);
    const std::string serversFrom = shifted(own.front().time, -SecondsBeforeForServers);
    const std::string until = shifted(own.back().time, SecondsAfter);
    for (const ReadLogLine &line : m_lines) {
        const bool state =
            line.time >= from && isOwnState(line) && instances.contains(line.instance);
        const bool news = line.time >= serversFrom && isServerNews(line)
            && servers.contains(line.field("backend"));
        if (!isAbout(line, id) && line.time <= until && (state || news)) {
            found.push_back(line);
        }
    }
    return found;
}

std::string requestSummary(const std::vector<ReadLogLine> &ownLines)
{
    const auto done = std::find_if(ownLines.rbegin(), ownLines.rend(), [](const ReadLogLine &line) {
        return line.event == "request.done" || line.event == "request.refused";
    });
    if (done == ownLines.rend()) {
        return "The end of the request is not logged: the daemon failed, or the line was dropped.";
    }
    std::string text = done->instance + " ended the request with status " + done->field("status")
        + " (" + done->field("cause") + ")";
    if (!done->field("sends").empty()) {
        text += " after " + done->field("sends") + " sends and " + done->field("total_ms") + " ms";
    }
    return text + ".";
}

} // namespace lycheearch
