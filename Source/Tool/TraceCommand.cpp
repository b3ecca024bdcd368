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

nlohmann::json toJson(const std::vector<ReadLogLine> &lines)
{
    nlohmann::json list = nlohmann::json::array();
    for (const ReadLogLine &line : lines) {
        list.push_back({{"time", line.time},
                        {"instance", line.instance},
                        {"event", line.event},
                        {"fields", line.fields}});
    }
    return list;
}

void print(const std::vector<ReadLogLine> &lines, std::ostream &out)
{
    for (const ReadLogLine &line : lines) {
        out << "  " << line.text << "\n";
    }
}

} // namespace

ExitCode traceRequest(const TraceOrder &order, std::istream &input, std::ostream &out,
                      std::ostream &err)
{
    RequestTrace trace;
    if (!readLogs(order.logs, trace, input, err)) {
        return ExitCode::BadInput;
    }
    const std::vector<ReadLogLine> own = trace.ownLines(order.request);
    if (own.empty()) {
        err << "None of " << trace.lines() << " log lines belongs to request " << order.request
            << ".\n";
        return ExitCode::Failed;
    }
    const std::vector<ReadLogLine> context = trace.context(order.request);
    const std::string summary = requestSummary(own);
    if (order.json) {
        out << nlohmann::json{{"request", order.request},
                              {"summary", summary},
                              {"lines", toJson(own)},
                              {"context", toJson(context)}}
                   .dump()
            << "\n";
        return ExitCode::Success;
    }
    out << summary << "\n\nThe request:\n";
    print(own, out);
    out << "\nRelated events of the daemon and the backend servers that handled it:\n";
    print(context, out);
    return ExitCode::Success;
}

} // namespace lycheearch
