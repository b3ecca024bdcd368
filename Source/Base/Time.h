#pragma once

#include <chrono>
#include <ctime>

namespace lycheearch {

using Duration = std::chrono::microseconds;
/// Monotonic time of this machine, which goes on while it is suspended. Not comparable between
/// machines.
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
    /// std::chrono::steady_clock stands still while the machine is suspended, so that a lease or a
    /// view from before would seem as young as it was then.
    static constexpr clockid_t MonotonicClock = CLOCK_BOOTTIME;

    TimePoint now() const override
    {
        timespec time{};
        clock_gettime(MonotonicClock, &time);
        return TimePoint(std::chrono::duration_cast<Duration>(
            std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
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
