#include <criterion/criterion.h>

#include <algorithm>

#include "Feed/FeedMessages.h"

// Sources whose bytes have no end.

using namespace lycheearch;

namespace {

constexpr std::size_t PieceBytes = 32UL * 1024;
constexpr std::size_t TotalBytes = 64UL * 1024 * 1024;
constexpr FeedFrameLimits Limits{256UL * 1024, 1024UL * 1024};

struct Outcome
{
    bool refused = false;
    std::size_t mostHeld = 0; ///< Bytes of a frame that was not complete.
};

/// Feeds \p start and then \p piece again and again.
Outcome feedWithoutEnd(const std::string &start, const std::string &piece)
{
    FeedFrameReader reader(Limits);
    Outcome outcome;
    std::string burst = start;
    std::size_t total = 0;
    while (total < TotalBytes && !outcome.refused) {
        while (burst.size() < PieceBytes) {
            burst += piece;
        }
        total += burst.size();
        std::vector<FeedMessage> messages;
        outcome.refused = !reader.feed(burst, messages);
        outcome.mostHeld = std::max(outcome.mostHeld, reader.pendingBytes());
        burst.clear();
    }
    return outcome;
}

} // namespace

Test(feed, bytes_without_end_that_are_no_frames_are_refused)
{
    for (const char *piece : {"x", "HTTP/1.1 200 OK\r\n", "\r\n"}) {
        cr_expect(feedWithoutEnd("", piece).refused, "'%s'", piece);
    }
}

Test(feed, a_frame_without_end_is_held_up_to_its_limit_and_refused)
{
    const std::string largest = {'\0', '\0', '\4', '\0', '\0'}; // 256 KiB, not compressed.
    const Outcome outcome = feedWithoutEnd(largest, "x");
    cr_expect(outcome.refused);
    cr_expect_leq(outcome.mostHeld, 2 * (Limits.frameBytes + PieceBytes));
}

Test(feed, frames_without_end_are_not_kept)
{
    const std::string frame = encodeFeedFrame(FeedHeartbeat{Duration(1ms)});
    const Outcome outcome = feedWithoutEnd("", frame);
    cr_expect_not(outcome.refused);
    cr_expect_leq(outcome.mostHeld, 2 * PieceBytes);
}
