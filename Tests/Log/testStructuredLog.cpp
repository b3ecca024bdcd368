#include <criterion/criterion.h>

#include <csignal>

#include <fcntl.h>
#include <unistd.h>

#include "Log/StructuredLog.h"

using namespace lycheearch;

namespace {

std::string readAvailable(int descriptor)
{
    std::string text(1 << 20, '\0');
    const ssize_t count = read(descriptor, text.data(), text.size());
    text.resize(count < 0 ? 0 : static_cast<std::size_t>(count));
    return text;
}

struct Pipe
{
    Pipe()
    {
        cr_assert_eq(pipe(ends), 0);
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
    }
    ~Pipe()
    {
        close(ends[0]);
        close(ends[1]);
    }
    int ends[2] = {-1, -1};
};

} // namespace

Test(logLine, values_cannot_break_the_line_format)
{
    LogLine line("test");
    line.add("plain", "a.b-c").add("quoted", "a \"b\"\nc=d").add("empty", "").add("n", 7);
    cr_expect_str_eq(line.text().c_str(),
                     "event=test plain=a.b-c quoted=\"a \\\"b\\\"?c=d\" empty=\"\" n=7");
}

Test(structuredLog, routine_lines_are_rate_limited_and_dropped_lines_counted)
{
    const SystemClock clock;
    Pipe pipe;
    {
        StructuredLog log("i", pipe.ends[1], 3, clock);
        const TimePoint now = clock.now();
        for (int i = 0; i < 10; ++i) {
            log.write(LogPriority::Routine, LogLine("routine"), now);
        }
        log.write(LogPriority::Notable, LogLine("failed"), now);
        cr_expect_eq(log.droppedLines(), 7);
    }
    const std::string text = readAvailable(pipe.ends[0]);
    cr_expect(text.find("event=failed left_out=7") != std::string::npos, "%s", text.c_str());
    cr_expect_eq(std::count(text.begin(), text.end(), '\n'), 4);
}

Test(structuredLog, a_stalled_reader_never_blocks_the_caller, .timeout = 20)
{
    const SystemClock clock;
    Pipe pipe;
    StructuredLog log("i", pipe.ends[1], 3, clock);
    const TimePoint start = clock.now();
    const std::string value(300, 'x');
    for (int i = 0; i < 50'000; ++i) {
        log.write(LogPriority::Notable, LogLine("failed").add("value", value), start);
    }
    cr_expect(log.droppedLines() > 10'000, "%ld", static_cast<long>(log.droppedLines()));
    // Unblocks the writer thread, so that the log can be destroyed.
    fcntl(pipe.ends[1], F_SETFL, O_NONBLOCK);
    while (!readAvailable(pipe.ends[0]).empty()) { }
}

Test(structuredLog, lines_beyond_two_megabytes_are_dropped_while_the_reader_is_slow)
{
    const SystemClock clock;
    Pipe pipe;
    std::int64_t dropped = 0;
    constexpr int lines = 4000;
    constexpr int valuesPerLine = 4;
    {
        StructuredLog log("i", pipe.ends[1], 3, clock);
        for (int i = 0; i < lines; ++i) {
            LogLine line("failed");
            for (int j = 0; j < valuesPerLine; ++j) {
                line.add("value", std::string(400, 'v'));
            }
            log.write(LogPriority::Notable, std::move(line), clock.now());
        }
        dropped = log.droppedLines();
        close(pipe.ends[0]);
        pipe.ends[0] = open("/dev/null", O_RDONLY);
        signal(SIGPIPE, SIG_IGN);
    }
    // Lines of 1.6 kB each; the writer may have taken one batch of 256 and a full pipe of them.
    cr_expect(dropped > lines / 2, "%ld of %d lines dropped", static_cast<long>(dropped), lines);
}

Test(structuredLog, lines_about_clients_are_rate_limited_apart_from_others)
{
    const SystemClock clock;
    Pipe pipe;
    {
        StructuredLog log("i", pipe.ends[1], 3, clock);
        const TimePoint now = clock.now();
        for (int i = 0; i < 100; ++i) {
            log.write(LogPriority::Client, LogLine("client.limit"), now);
        }
        log.write(LogPriority::Notable, LogLine("failed"), now);
        log.write(LogPriority::Routine, LogLine("routine"), now);
        log.write(LogPriority::Client, LogLine("client.limit"), now + 1s);
    }
    const std::string text = readAvailable(pipe.ends[0]);
    cr_expect(text.find("event=failed left_out=80") != std::string::npos, "%s", text.c_str());
    cr_expect_eq(std::count(text.begin(), text.end(), '\n'), 23);
}
