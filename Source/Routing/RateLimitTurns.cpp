#include "Routing/RateLimitTurns.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "Base/Hash.h"

namespace lycheearch {

namespace {

using Seconds = std::chrono::duration<double>;

double secondsOf(TimePoint time)
{
    return Seconds(time.time_since_epoch()).count();
}

/// A number from 0 to 1 that follows from \p seed.
double fractionOf(std::uint64_t seed)
{
    return static_cast<double>(mixBits(seed))
        / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

RateLimitTurns::RateLimitTurns(std::uint64_t seed, double perSecond, const FleetPosition &position)
    : m_interval(std::max(1, position.daemons) / std::clamp(perSecond, MinRate, MaxRate))
    , m_phase(
          (static_cast<double>(position.rank) / std::max(1, position.daemons) + fractionOf(seed))
          * m_interval)
    , m_clockOffset(Seconds(position.clockOffset).count())
{
}

std::optional<TimePoint> RateLimitTurns::usableTurn(TimePoint lastUsed, TimePoint now) const
{
    const TimePoint turn = nextTurn(lastUsed, now);
    return turn <= now ? std::optional(turn) : std::nullopt;
}

TimePoint RateLimitTurns::nextTurn(TimePoint lastUsed, TimePoint now) const
{
    // Half an interval after the last turn lies safely before the next one, also if the interval
    // has changed meanwhile.
    const double afterLast = lastUsed == TimePoint() ? 0 : secondsOf(lastUsed) + m_interval / 2;
    const double earliest = std::max(afterLast, secondsOf(now - Lifetime)) + m_clockOffset;
    const double turn = m_phase + std::ceil((earliest - m_phase) / m_interval) * m_interval;
    return TimePoint(std::chrono::duration_cast<Duration>(Seconds(turn - m_clockOffset)));
}

} // namespace lycheearch
