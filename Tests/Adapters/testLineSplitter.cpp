#include <criterion/criterion.h>

#include "Adapters/LineSplitter.h"
#include "Base/StepCounter.h"

using namespace lycheearch;

namespace {

/// Steps for \p lines lines of \p length bytes that arrive in pieces of \p pieceBytes.
std::uint64_t stepsFor(int lines, std::size_t length, std::size_t pieceBytes)
{
    std::string text;
    for (int i = 0; i < lines; ++i) {
        text += std::string(length, 'a') + "\n";
    }
    LineSplitter splitter;
    const std::uint64_t before = StepCounter::total();
    for (std::size_t i = 0; i < text.size(); i += pieceBytes) {
        splitter.append(std::string_view(text).substr(i, pieceBytes));
        while (splitter.next()) { }
    }
    return StepCounter::total() - before;
}

} // namespace

// Related to review/7: each line of a piece moved all bytes that came after it.
Test(lineSplitter, the_work_is_linear_in_the_bytes_whatever_the_lines_and_pieces)
{
    constexpr int lines = 4000;
    constexpr double most = 2.2;
    for (const std::size_t length : {0UL, 1UL, 60UL}) {
        for (const std::size_t pieceBytes : {1UL, 100UL, 16UL * 1024, 1024UL * 1024}) {
            const auto once = static_cast<double>(stepsFor(lines, length, pieceBytes));
            const auto twice = static_cast<double>(stepsFor(2 * lines, length, pieceBytes));
            cr_expect(twice <= most * once, "lines of %zu, pieces of %zu: %g and %g steps", length,
                      pieceBytes, once, twice);
        }
    }
}

Test(lineSplitter, lines_are_the_same_however_they_are_divided)
{
    const std::string text = "a\r\n\nbc\ndef\r\n\r\nrest";
    const std::vector<std::string> expected = {"a", "", "bc", "def", ""};
    for (std::size_t pieceBytes = 1; pieceBytes <= text.size(); ++pieceBytes) {
        LineSplitter splitter;
        std::vector<std::string> lines;
        for (std::size_t i = 0; i < text.size(); i += pieceBytes) {
            splitter.append(std::string_view(text).substr(i, pieceBytes));
            while (const auto line = splitter.next()) {
                lines.push_back(*line);
            }
        }
        cr_expect(lines == expected, "pieces of %zu", pieceBytes);
        cr_expect_eq(splitter.pendingBytes(), 4);
    }
}
