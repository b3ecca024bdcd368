#include <criterion/criterion.h>

#include <memory>
#include <vector>

#include "Forward/CallerReaders.h"
#include "Forward/ReadPause.h"
#include "ManualLoop.h"
#include "Net/SendQueue.h"

using namespace lycheearch;

namespace {

constexpr std::size_t Megabyte = 1024UL * 1024;
constexpr std::size_t ReadBytes = 32UL * 1024; ///< Of one read from a server.

/// A caller whose unread bytes are set by the test.
struct FakeReader : CallerReader
{
    UnreadBytes unread() const override { return bytes; }
    void followReading(TimePoint now) override { rests = readers->update(id, *this, now); }
    void endUnread(const char *, TimePoint) override { ended = true; }

    CallerReaders *readers = nullptr;
    RelayBackpressure::ReaderId id = 0;
    UnreadBytes bytes;
    bool rests = false;
    bool ended = false;
};

/// Callers of one daemon.
struct Callers
{
    Callers(std::size_t memory, int count)
        : budget(memory)
        , readers(loop, budget)
    {
        for (int i = 0; i < count; ++i) {
            all.push_back(std::make_unique<FakeReader>());
            all.back()->readers = &readers;
            all.back()->id = readers.newId();
        }
    }
    void queue(FakeReader &reader, std::size_t bytes)
    {
        reader.bytes.queued += bytes;
        reader.rests = readers.update(reader.id, reader, clock.now());
    }

    ManualClock clock;
    EventLoop loop{clock};
    BodyBudget budget;
    CallerReaders readers;
    std::vector<std::unique_ptr<FakeReader>> all;
};

} // namespace

Test(relayBackpressure, callers_that_read_nothing_share_the_room_whatever_their_number)
{
    for (const std::size_t memory : {22 * Megabyte, 128 * Megabyte}) {
        for (const int count : {1, 8, 83, 300}) {
            Callers callers(memory, count);
            // Each server sends as long as its response is read.
            for (int round = 0; round < 200; ++round) {
                for (const auto &reader : callers.all) {
                    if (!reader->rests) {
                        callers.queue(*reader, ReadBytes);
                    }
                }
            }
            const RelayBackpressure &backpressure = callers.readers.backpressure();
            cr_expect_eq(backpressure.resting(), static_cast<std::size_t>(count));
            cr_expect_leq(backpressure.unreadBytes(),
                          memory / 2 * count / (count + 8)
                              + static_cast<std::size_t>(count) * ReadBytes);
            cr_expect_leq(callers.budget.reservedBytes(), memory);
            for (const auto &reader : callers.all) {
                cr_expect_not(reader->ended);
                cr_expect_leq(reader->bytes.queued,
                              RelayBackpressure::HighWatermarkBytes + ReadBytes);
            }
        }
    }
}

Test(relayBackpressure, reading_goes_on_soon_below_the_watermark_and_all_memory_is_released)
{
    Callers callers(22 * Megabyte, 1);
    FakeReader &reader = *callers.all.front();
    callers.queue(reader, RelayBackpressure::HighWatermarkBytes);
    cr_expect_not(reader.rests);
    callers.queue(reader, 1);
    cr_expect(reader.rests);
    reader.bytes = {RelayBackpressure::HighWatermarkBytes / 8 * 7 + 1, 1};
    reader.followReading(callers.clock.now());
    cr_expect(reader.rests);
    reader.bytes = {RelayBackpressure::HighWatermarkBytes / 8 * 7, 2};
    reader.followReading(callers.clock.now());
    cr_expect_not(reader.rests);
    reader.bytes = {0, 3};
    reader.followReading(callers.clock.now());
    cr_expect_eq(callers.budget.reservedBytes(), 0);
    cr_expect_eq(callers.readers.backpressure().readers(), 0);
}

Test(relayBackpressure, exhausted_memory_ends_who_read_least_lately_and_no_other)
{
    Callers callers(300 * 1024, 3);
    for (const auto &reader : callers.all) {
        callers.queue(*reader, 100UL * 1024);
    }
    callers.clock.time += 400ms;
    callers.all[0]->bytes.taken = 1;
    callers.all[2]->bytes.taken = 1;
    for (const auto &reader : callers.all) {
        reader->followReading(callers.clock.now());
    }
    callers.clock.time += 100ms;
    callers.queue(*callers.all[2], 1);
    for (const auto &reader : callers.all) {
        cr_expect_not(reader->ended, "All have taken bytes within the last second.");
    }
    callers.clock.time += 500ms;
    callers.queue(*callers.all[0], 1);
    cr_expect(callers.all[1]->ended);
    cr_expect_not(callers.all[0]->ended);
    cr_expect_not(callers.all[2]->ended);
    cr_expect_eq(callers.budget.reservedBytes(), 200UL * 1024 + 2);
}

Test(relayBackpressure, a_new_response_takes_no_room_from_callers_that_read)
{
    Callers callers(300 * 1024, 2);
    for (const auto &reader : callers.all) {
        callers.queue(*reader, 100UL * 1024);
    }
    cr_expect_not(callers.readers.reserve(150UL * 1024, callers.clock.now()));
    callers.clock.time += RelayBackpressure::RecentlyRead;
    callers.all[1]->bytes.taken = 1;
    callers.all[1]->followReading(callers.clock.now());
    cr_expect(callers.readers.reserve(150UL * 1024, callers.clock.now()));
    cr_expect(callers.all[0]->ended);
    cr_expect_not(callers.all[1]->ended);
    cr_expect_not(callers.readers.reserve(150UL * 1024, callers.clock.now()));
}

// A link of 360 kbit/s, shared by 300 callers: 150 bytes a second each.
Test(relayBackpressure, a_narrow_link_ends_no_caller_and_a_stopped_one_is_ended)
{
    Callers callers(22 * Megabyte, 300);
    for (const auto &reader : callers.all) {
        callers.queue(*reader, ReadBytes);
    }
    FakeReader &stopped = *callers.all[7];
    runLoopFor(callers.clock, callers.loop, 20s, [&] {
        for (const auto &reader : callers.all) {
            const std::size_t taken = reader.get() == &stopped ? 0 : 1;
            reader->bytes.queued -= taken;
            reader->bytes.taken += taken;
        }
    });
    cr_expect(stopped.ended);
    for (const auto &reader : callers.all) {
        cr_expect(reader->ended == (reader.get() == &stopped));
    }
}

Test(readPause, explains_a_loss_only_while_it_rests_or_after_it_rested_for_long)
{
    const TimePoint start{};
    ReadPause pause;
    cr_expect_not(pause.explainsLoss());
    pause.begin(start);
    cr_expect(pause.explainsLoss());
    pause.end(start + ReadPause::ShortestUnread / 2);
    cr_expect_not(pause.explainsLoss());
    cr_expect(pause.distortsTimes());
    pause.begin(start + 2s);
    pause.end(start + 2s + ReadPause::ShortestUnread);
    cr_expect(pause.explainsLoss());
}

Test(sendQueue, keeps_the_order_copies_no_body_and_frees_what_is_sent)
{
    const auto body = std::make_shared<const std::string>(100'000, 'b');
    SendQueue queue;
    queue.append("head ");
    queue.append("more ");
    queue.append(body);
    queue.append("tail");
    cr_expect_eq(body.use_count(), 2);
    cr_expect_eq(queue.size(), 100'014);
    std::string sent;
    while (queue.size() > 0) {
        const std::string part(queue.front().substr(0, 7));
        sent += part;
        queue.consume(part.size());
    }
    cr_expect(sent == "head more " + *body + "tail");
    cr_expect_eq(body.use_count(), 1);
}
