#pragma once

#include <chrono>

namespace lycheearch {

using Duration = std::chrono::microseconds;
/// Monotonic time of this process. Not comparable between processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// Wall-clock time. It may jump, so timeouts and intervals within a process use TimePoint instead.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

/// Source of the current time. Decision functions take the time as an argument instead of a clock.
class Clock
{
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
    virtual WallTime wallTime() const = 0;
};

/// The clocks of the operating system.
class SystemClock : public Clock
{
public:
    TimePoint now() const override
    {
        return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    }
    WallTime wallTime() const override
    {
        return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
    }
};

/// \p duration in milliseconds, truncated.
inline std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Unix time in milliseconds. Wall-clock time, which may jump.
inline std::int64_t wallMilliseconds(const Clock &clock)
{
    return toMilliseconds(clock.wallTime().time_since_epoch());
}

} // namespace lycheearch
