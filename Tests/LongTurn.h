#pragma once

#include <criterion/criterion.h>

#include <array>
#include <functional>

#include <sys/epoll.h>
#include <unistd.h>

#include "Mocks.h"
#include "Net/EventLoop.h"

namespace lycheearch {

/// Calls a function from the event loop once the bytes that were written at the construction are
/// read.
class Arrival : private IoHandler
{
public:
    Arrival(EventLoop &loop, std::function<void(TimePoint)> onArrival)
        : m_loop(loop)
        , m_onArrival(std::move(onArrival))
    {
        cr_assert_eq(pipe(m_ends.data()), 0);
        cr_assert_eq(write(m_ends[1], "x", 1), 1);
        m_loop.watch(m_ends[0], EPOLLIN, *this);
    }
    ~Arrival() override
    {
        m_loop.unwatch(m_ends[0]);
        close(m_ends[0]);
        close(m_ends[1]);
    }

private:
    void onReady(std::uint32_t, TimePoint now) override
    {
        m_loop.unwatch(m_ends[0]);
        m_onArrival(now);
    }

    EventLoop &m_loop;
    std::function<void(TimePoint)> m_onArrival;
    std::array<int, 2> m_ends{};
};

/// Runs a handler that takes \p duration and calls \p meanwhile at its beginning. Then runs the
/// timers that have become due.
inline void runLongTurn(ManualClock &clock, EventLoop &loop, Duration duration,
                        const std::function<void()> &meanwhile)
{
    Arrival handler(loop, [&](TimePoint) {
        meanwhile();
        clock.time += duration;
    });
    loop.at(clock.time + duration, [&loop](TimePoint) { loop.stop(); });
    loop.run();
    loop.resume();
}

} // namespace lycheearch
