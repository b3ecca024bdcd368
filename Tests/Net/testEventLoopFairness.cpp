#include <criterion/criterion.h>

#include <array>
#include <functional>
#include <memory>
#include <vector>

#include <sys/epoll.h>
#include <unistd.h>

#include "Mocks.h"
#include "Net/EventLoop.h"

// What an event loop owes timers while connections are busy, and connections while timers are due.

using namespace lycheearch;

namespace {

/// The reading end of a pipe with bytes in it; calls back each time that it is reported.
class ReadablePipe : private IoHandler
{
public:
    ReadablePipe(EventLoop &loop, int bytes, std::function<void(int fd)> onReadable)
        : m_loop(loop)
        , m_onReadable(std::move(onReadable))
    {
        cr_assert_eq(pipe(m_ends.data()), 0);
        const std::string content(static_cast<std::size_t>(bytes), 'x');
        cr_assert_eq(write(m_ends[1], content.data(), content.size()), bytes);
        m_loop.watch(m_ends[0], EPOLLIN, *this);
    }
    ~ReadablePipe() override
    {
        m_loop.unwatch(m_ends[0]);
        close(m_ends[0]);
        close(m_ends[1]);
    }

private:
    void onReady(std::uint32_t, TimePoint) override { m_onReadable(m_ends[0]); }

    EventLoop &m_loop;
    std::function<void(int fd)> m_onReadable;
    std::array<int, 2> m_ends{};
};

} // namespace

Test(eventLoopFairness, due_timers_of_2_ms_are_not_held_up_by_busy_connections, .timeout = 20)
{
    constexpr int pipeCount = 256;
    constexpr int timerCount = 50;
    ManualClock clock;
    EventLoop loop(clock);
    std::vector<std::unique_ptr<ReadablePipe>> pipes;
    for (int i = 0; i < pipeCount; ++i) {
        pipes.push_back(std::make_unique<ReadablePipe>(
            loop, 1, [&](int) { clock.time += std::chrono::microseconds(200); }));
    }
    const TimePoint begunAt = clock.time;
    int fired = 0;
    for (int i = 0; i < timerCount; ++i) {
        loop.at(clock.time, [&](TimePoint) {
            clock.time += 2ms;
            if (++fired == timerCount) {
                loop.stop();
            }
        });
    }
    loop.run();
    // The timers themselves take 100 ms.
    cr_expect_leq((clock.time - begunAt).count(), Duration(1s).count(), "took %lld us",
                  static_cast<long long>((clock.time - begunAt).count()));
}

Test(eventLoopFairness, all_that_arrived_on_one_connection_is_handled_before_a_timer, .timeout = 20)
{
    constexpr int pieces = 10;
    ManualClock clock;
    EventLoop loop(clock);
    int handled = 0;
    ReadablePipe pipe(loop, pieces, [&](int fd) {
        char byte = 0;
        cr_assert_eq(read(fd, &byte, 1), 1);
        ++handled;
    });
    int handledAtTimer = 0;
    loop.at(clock.time, [&](TimePoint) {
        handledAtTimer = handled;
        loop.stop();
    });
    loop.run();
    cr_expect_eq(handledAtTimer, pieces, "%d of %d", handledAtTimer, pieces);
}

Test(eventLoopFairness, a_chain_of_deferred_callbacks_does_not_hold_up_connections, .timeout = 20)
{
    const SystemClock clock;
    EventLoop loop(clock);
    constexpr int longest = 1000;
    int links = 0;
    int linksBefore = 0;
    std::unique_ptr<ReadablePipe> pipe;
    std::function<void()> link = [&] {
        if (!pipe) {
            pipe = std::make_unique<ReadablePipe>(loop, 1, [&](int) {
                linksBefore = links;
                loop.stop();
            });
        }
        if (++links < longest) {
            loop.defer(link);
        }
    };
    loop.defer(link);
    loop.run();
    cr_expect_eq(linksBefore, 1, "%d callbacks before the connection", linksBefore);
}
