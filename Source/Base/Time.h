#pragma once

#include <chrono>

namespace lycheearch {

using Duration = std::chrono::microseconds;
/// Monotonic time of this process. Never compared between processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// Calendar time, for people and for the time line only.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

/// Source of the present time. Only threads that do I/O hold one; functions that decide take the
/// time as an argument.
class Clock
{
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
    virtual WallTime wallTime() const = 0;
};

/// The clock of the machine.
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

/// Whole milliseconds in \p duration.
inline std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Milliseconds since the epoch by the time of day, which may jump.
inline std::int64_t wallMilliseconds(const Clock &clock)
{
    return toMilliseconds(clock.wallTime().time_since_epoch());
}

} // namespace lycheearch
