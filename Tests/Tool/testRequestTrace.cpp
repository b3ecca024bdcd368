#include <criterion/criterion.h>

#include <sstream>

#include "Log/LogLine.h"
#include "Log/LogReader.h"
#include "Tool/TraceCommand.h"

using namespace lycheearch;

namespace {

std::string logLineAt(int second, const std::string &instance, LogLine line)
{
    const std::string digits = std::to_string(100 + second).substr(1);
    return "time=2026-12-04T10:00:" + digits + ".000Z instance=" + instance + " " + line.take()
        + "\n";
}

/// Logs of two daemons: a request whose backend server crashed, and other events around it.
std::string sampleLogs()
{
    return logLineAt(1, "a", LogLine("feed.followed").add("source", "b"))
        + "a line in another format\n" + "   12.3 a " // A log collector may add a prefix.
        + logLineAt(20, "a", LogLine("dispatch").add("id", "q1").add("backend", "s1"))
        + logLineAt(21, "a",
                    LogLine("request.done")
                        .add("id", "q1")
                        .add("status", 502)
                        .add("cause", "the connection \"broke\"")
                        .add("sends", 1)
                        .add("total_ms", 900))
        + logLineAt(21, "b", LogLine("link.lost").add("id", "q2").add("backend", "s1"))
        + logLineAt(22, "b", LogLine("link.lost").add("id", "q3").add("backend", "s2"))
        + logLineAt(19, "b", LogLine("store.lost").add("topic", "own"))
        + logLineAt(23, "b", LogLine("backend.gone").add("backend", "s1"))
        + logLineAt(40, "a", LogLine("process.draining"));
}

struct Output
{
    explicit Output(const TraceOptions &options)
    {
        std::istringstream input(sampleLogs());
        std::ostringstream text;
        std::ostringstream errors;
        code = traceRequest(options, input, text, errors);
        out = text.str();
        err = errors.str();
    }

    bool has(const std::string &part) const { return out.find(part) != std::string::npos; }

    ExitCode code = ExitCode::Failed;
    std::string out;
    std::string err;
};

} // namespace

Test(requestTrace, failed_request_is_shown_with_related_events)
{
    const Output output({"q1", {}, false});
    cr_expect_eq(output.code, ExitCode::Success);
    cr_expect(output.has("a ended the request with status 502 (the connection \"broke\")"));
    cr_expect(output.has("event=dispatch id=q1"));
    // Another daemon lost its connection to the same backend server, which was removed soon after.
    cr_expect(output.has("id=q2") && output.has("backend.gone"));
    cr_expect(output.has("feed.followed"), "state of the daemon that handled the request");
    cr_expect_not(output.has("id=q3"), "another server");
    cr_expect_not(output.has("store.lost"), "store connection of another daemon");
    cr_expect_not(output.has("process.draining"), "long after the request");
}

Test(requestTrace, unknown_request_and_unreadable_file_have_different_exit_codes)
{
    const Output unknown({"q9", {}, false});
    cr_expect_eq(unknown.code, ExitCode::Failed);
    cr_expect(unknown.err.find("q9") != std::string::npos);
    const Output unreadable({"q1", {"/nowhere/a.log"}, false});
    cr_expect_eq(unreadable.code, ExitCode::BadInput);
    cr_expect(unreadable.err.find("/nowhere/a.log") != std::string::npos);
}

Test(requestTrace, json_output_has_fields_and_context)
{
    const Output output({"q1", {"-"}, true});
    cr_expect(output.has("\"cause\":\"the connection \\\"broke\\\"\""));
    cr_expect(output.has("\"context\":["));
}

Test(requestTrace, written_lines_are_read_back_unchanged)
{
    const auto line =
        parseLogLine(logLineAt(3, "i", LogLine("e").add("k", "a \"b\" \\c=d").add("n", 7)));
    cr_assert(line);
    cr_expect_str_eq(line->field("k").c_str(), "a \"b\" \\c=d");
    cr_expect_str_eq(line->field("n").c_str(), "7");
    cr_expect_str_eq(line->instance.c_str(), "i");
    for (const char *malformed :
         {"", "time=", "time=x instance", "time=x instance=i event=\"open"}) {
        cr_expect_not(parseLogLine(malformed).has_value(), "%s", malformed);
    }
}
