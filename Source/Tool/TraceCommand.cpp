#include "Tool/TraceCommand.h"

#include <fstream>
#include <istream>
#include <ostream>

#include <nlohmann/json.hpp>

#include "Tool/RequestTrace.h"

namespace lycheearch {

namespace {

bool readLogs(const std::vector<std::string> &logs, RequestTrace &trace, std::istream &input,
              std::ostream &err)
{
    if (logs.empty()) {
        trace.read(input);
    }
    for (const std::string &path : logs) {
        if (path == "-") {
            trace.read(input);
            continue;
        }
        std::ifstream file(path);
        if (!file) {
            err << path << ": found no readable file, expected a daemon's log\n";
            return false;
        }
        trace.read(file);
    }
    return true;
}

nlohmann::json toJson(const std::vector<ParsedLogLine> &lines)
{
    nlohmann::json list = nlohmann::json::array();
    for (const ParsedLogLine &line : lines) {
        list.push_back({{"time", line.time},
                        {"instance", line.instance},
                        {"event", line.event},
                        {"fields", line.fields}});
    }
    return list;
}

void print(const std::vector<ParsedLogLine> &lines, std::ostream &out)
{
    for (const ParsedLogLine &line : lines) {
        out << "  " << line.text << "\n";
    }
}

} // namespace

ExitCode traceRequest(const TraceOptions &options, std::istream &input, std::ostream &out,
                      std::ostream &err)
{
    RequestTrace trace;
    if (!readLogs(options.logs, trace, input, err)) {
        return ExitCode::BadInput;
    }
    const std::vector<ParsedLogLine> matching = trace.requestLines(options.request);
    if (matching.empty()) {
        err << "None of " << trace.lines() << " log lines belongs to request " << options.request
            << ".\n";
        return ExitCode::Failed;
    }
    const std::vector<ParsedLogLine> context = trace.context(options.request);
    const std::string summary = requestSummary(matching);
    if (options.json) {
        out << nlohmann::json{{"request", options.request},
                              {"summary", summary},
                              {"lines", toJson(matching)},
                              {"context", toJson(context)}}
                   .dump()
            << "\n";
        return ExitCode::Success;
    }
    out << summary << "\n\nThe request:\n";
    print(matching, out);
    out << "\nRelated events of the daemon and the backend servers that handled it:\n";
    print(context, out);
    return ExitCode::Success;
}

} // namespace lycheearch
