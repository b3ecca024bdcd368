#include <criterion/criterion.h>

#include <array>
#include <functional>
#include <memory>
#include <vector>

#include <sys/epoll.h>
#include <unistd.h>

#include "Mocks.h"
#include "Net/EventLoop.h"

// The order of events and timers when a handler takes long.

using namespace lycheearch;

namespace {

/// A pipe whose reading end an event loop watches.
class WatchedPipe : private IoHandler
{
public:
    using ReadyCallback = std::function<void(WatchedPipe &pipe)>;

    WatchedPipe(EventLoop &loop, ReadyCallback onReadable)
        : m_loop(loop)
        , m_onReadable(std::move(onReadable))
    {
        cr_assert_eq(pipe(m_ends.data()), 0);
        m_loop.watch(m_ends[0], EPOLLIN, *this);
    }
    ~WatchedPipe() override
    {
        m_loop.unwatch(m_ends[0]);
        close(m_ends[0]);
        close(m_ends[1]);
    }

    void writeByte() { cr_assert_eq(write(m_ends[1], "x", 1), 1); }
    void readByte()
    {
        char byte = 0;
        cr_assert_eq(read(m_ends[0], &byte, 1), 1);
    }

private:
    void onReady(std::uint32_t, TimePoint) override { m_onReadable(*this); }

    EventLoop &m_loop;
    ReadyCallback m_onReadable;
    std::array<int, 2> m_ends{};
};

} // namespace

Test(eventLoop, bytes_that_arrived_during_a_long_turn_are_handled_before_the_timers, .timeout = 10)
{
    ManualClock clock;
    EventLoop loop(clock);
    bool read = false;
    WatchedPipe late(loop, [&](WatchedPipe &pipe) {
        pipe.readByte();
        read = true;
    });
    WatchedPipe slow(loop, [&](WatchedPipe &pipe) {
        pipe.readByte();
        late.writeByte();
        clock.time += 300ms;
    });
    bool readAtTimer = false;
    loop.at(clock.time + 100ms, [&](TimePoint) {
        readAtTimer = read;
        loop.stop();
    });
    slow.writeByte();
    loop.run();
    cr_expect(readAtTimer);
}

Test(eventLoop, more_connections_than_one_wait_reports_are_handled_before_the_timers, .timeout = 10)
{
    constexpr int pipeCount = 300;
    ManualClock clock;
    EventLoop loop(clock);
    int handled = 0;
    std::vector<std::unique_ptr<WatchedPipe>> pipes;
    for (int i = 0; i < pipeCount; ++i) {
        pipes.push_back(std::make_unique<WatchedPipe>(loop, [&](WatchedPipe &pipe) {
            pipe.readByte();
            ++handled;
        }));
        pipes.back()->writeByte();
    }
    int handledAtTimer = 0;
    loop.at(clock.time, [&](TimePoint) {
        handledAtTimer = handled;
        loop.stop();
    });
    loop.run();
    cr_expect_eq(handledAtTimer, pipeCount);
}

Test(eventLoop, bytes_that_arrived_during_a_long_timer_are_handled_before_the_next_timer,
     .timeout = 10)
{
    ManualClock clock;
    EventLoop loop(clock);
    bool read = false;
    WatchedPipe late(loop, [&](WatchedPipe &pipe) {
        pipe.readByte();
        read = true;
    });
    loop.at(clock.time, [&](TimePoint) {
        late.writeByte();
        clock.time += 300ms;
    });
    bool readAtTimer = false;
    loop.at(clock.time, [&](TimePoint) {
        readAtTimer = read;
        loop.stop();
    });
    loop.run();
    cr_expect(readAtTimer);
}

Test(eventLoop, timers_fire_although_bytes_arrive_all_the_time, .timeout = 10)
{
    SystemClock clock;
    EventLoop loop(clock);
    WatchedPipe busy(loop, [](WatchedPipe &) {});
    busy.writeByte();
    bool fired = false;
    loop.at(clock.now() + 20ms, [&](TimePoint) {
        fired = true;
        loop.stop();
    });
    loop.run();
    cr_expect(fired);
}

Test(eventLoop, a_long_turn_is_reported_with_its_duty, .timeout = 10)
{
    struct Observer : EventLoopObserver
    {
        void onLongTurn(const char *duty, Duration duration, TimePoint) override
        {
            lastDuty = duty;
            lastDuration = duration;
            ++reports;
        }
        void onLateTimers(Duration, TimePoint) override { }
        std::string lastDuty;
        Duration lastDuration{};
        int reports = 0;
    };
    ManualClock clock;
    EventLoop loop(clock);
    Observer observer;
    loop.setObserver(&observer);
    loop.at(
        clock.time, [&](TimePoint) { clock.time += 10ms; }, "short");
    loop.at(
        clock.time + 10ms, [&](TimePoint) { clock.time += 70ms; }, "long");
    loop.at(clock.time + 80ms, [&](TimePoint) { loop.stop(); });
    loop.run();
    cr_expect_eq(observer.reports, 1);
    cr_expect_eq(observer.lastDuty, "long");
    cr_expect_eq(observer.lastDuration, 70ms);
}

Test(eventLoop, a_pause_of_the_process_is_reported_once, .timeout = 10)
{
    struct Observer : EventLoopObserver
    {
        void onLongTurn(const char *, Duration, TimePoint) override { }
        void onLateTimers(Duration lateness, TimePoint) override { reported.push_back(lateness); }
        std::vector<Duration> reported;
    };
    ManualClock clock;
    EventLoop loop(clock);
    Observer observer;
    loop.setObserver(&observer);
    loop.at(clock.time, [](TimePoint) {});
    loop.at(clock.time + 100ms, [](TimePoint) {});
    loop.at(clock.time + 200ms, [&](TimePoint) { loop.stop(); });
    clock.time += 3s;
    loop.run();
    cr_expect_eq(observer.reported.size(), 1);
    cr_expect_eq(observer.reported.front(), 3s);
}
