#include <criterion/criterion.h>

#include <functional>

#include "Base/StepCounter.h"
#include "Forward/EventSplitter.h"

using namespace lycheearch;

namespace {

/// Steps for \p units repetitions of \p unit that arrive in pieces of \p pieceBytes.
std::uint64_t stepsFor(const std::string &unit, int units, std::size_t pieceBytes)
{
    std::string text;
    for (int i = 0; i < units; ++i) {
        text += unit;
    }
    EventSplitter splitter;
    std::vector<StreamEvent> events;
    const std::uint64_t before = StepCounter::total();
    for (std::size_t i = 0; i < text.size(); i += pieceBytes) {
        cr_assert(splitter.feed(std::string_view(text).substr(i, pieceBytes), events));
    }
    return StepCounter::total() - before;
}

/// The bytes of the events that \p text is split into, if it arrives in pieces of \p pieceBytes.
std::vector<std::string> split(const std::string &text, std::size_t pieceBytes)
{
    EventSplitter splitter;
    std::vector<StreamEvent> events;
    for (std::size_t i = 0; i < text.size(); i += pieceBytes) {
        cr_assert(splitter.feed(std::string_view(text).substr(i, pieceBytes), events));
    }
    std::vector<std::string> bytes;
    for (const StreamEvent &event : events) {
        bytes.push_back(event.bytes);
    }
    return bytes;
}

} // namespace

// review/7: each chunk of an event that did not end was searched from its beginning.
Test(eventSplitter, the_work_is_linear_in_the_bytes_whatever_the_lines_and_pieces)
{
    constexpr int units = 2000;
    constexpr double most = 2.2;
    for (const std::string unit : {"data: token7\n", "data: token7\r\n", "a", "\r", "data: x\n\n",
                                   "id: 1\r\ndata: x\r\n\r\n", "\n", "\r\n", "\n\n"}) {
        for (const std::size_t pieceBytes : {1UL, unit.size(), 100UL, 32UL * 1024}) {
            const auto once = static_cast<double>(stepsFor(unit, units, pieceBytes));
            const auto twice = static_cast<double>(stepsFor(unit, 2 * units, pieceBytes));
            cr_expect(twice <= most * once, "pieces of %zu, \"%s\": %g and %g steps", pieceBytes,
                      unit.c_str(), once, twice);
            const double bytes = static_cast<double>(unit.size()) * units;
            cr_expect(once <= 4 * bytes, "pieces of %zu, \"%s\": %g steps for %g bytes", pieceBytes,
                      unit.c_str(), once, bytes);
        }
    }
}

Test(eventSplitter, events_are_the_same_however_they_are_divided)
{
    const std::string text = "id: 1\ndata: a\n\n"
                             ": keep-alive\r\n\r\n"
                             "id: 2\r\ndata: b\r\n\r\n"
                             "\ndata: c\n\n"
                             "data: d\r\n\n";
    const std::vector<std::string> expected = {"id: 1\ndata: a\n\n", ": keep-alive\r\n\r\n",
                                               "id: 2\r\ndata: b\r\n\r\n", "\ndata: c\n\n",
                                               "data: d\r\n\n"};
    for (std::size_t pieceBytes = 1; pieceBytes <= text.size(); ++pieceBytes) {
        cr_expect(split(text, pieceBytes) == expected, "pieces of %zu", pieceBytes);
    }
}

Test(eventSplitter, an_event_of_the_largest_size_is_split_and_a_larger_one_refused)
{
    const std::string largest(1024UL * 1024 - 2, 'a');
    EventSplitter splitter;
    std::vector<StreamEvent> events;
    cr_expect(splitter.feed(largest, events));
    cr_expect(splitter.feed("\n\n", events));
    cr_expect_eq(events.size(), 1);
    cr_expect(splitter.atBoundary());
    cr_expect(splitter.feed(largest, events));
    cr_expect_not(splitter.feed("aaa", events));
}
