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

/// How long before the request's first line a changed belief may still explain its end.
constexpr int SecondsBefore = 30;
/// Clocks of instances are apart, and news of a server arrive late.
constexpr int SecondsAfter = 5;
/// News of a backend server matter only close to the request.
constexpr int SecondsBeforeForServers = 5;

/// The time that lies \p seconds from \p time, in the same form; \p time itself if it is no time.
std::string shifted(const std::string &time, int seconds)
{
    try {
        int zone = 0;
        Poco::DateTime parsed =
            Poco::DateTimeParser::parse(Poco::DateTimeFormat::ISO8601_FRAC_FORMAT, time, zone);
        parsed += Poco::Timespan(seconds, 0);
        return Poco::DateTimeFormatter::format(parsed, "%Y-%m-%dT%H:%M:%S.%iZ");
    } catch (const Poco::SyntaxException &) {
        return time; // A line with a spoilt time bounds the window by itself.
    }
}

bool isAbout(const ReadLogLine &line, const std::string &id)
{
    return line.field("id") == id;
}

/// Whether a line tells of the daemon as a whole, not of one request or server.
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
        return "No end is logged: the daemon was lost, or the line was left out.";
    }
    std::string text = done->instance + " ended it with status " + done->field("status") + " ("
        + done->field("cause") + ")";
    if (!done->field("sends").empty()) {
        text += " after " + done->field("sends") + " sends and " + done->field("total_ms") + " ms";
    }
    return text + ".";
}

} // namespace lycheearch
