#include <criterion/criterion.h>

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
