#pragma once

#include <functional>

#include "Mocks.h"
#include "Net/EventLoop.h"

namespace lycheearch {

/// Advances a clock in steps and runs the timers of an event loop that become due. Calls
/// \p afterStep after each step.
inline void runLoopFor(ManualClock &clock, EventLoop &loop, Duration span,
                       const std::function<void()> &afterStep = {})
{
    constexpr Duration step = 10ms;
    const TimePoint end = clock.time + span;
    while (clock.time < end) {
        clock.time += step;
        loop.at(clock.time, [&loop](TimePoint) { loop.stop(); });
        loop.run();
        loop.resume();
        if (afterStep) {
            afterStep();
        }
    }
}

} // namespace lycheearch
