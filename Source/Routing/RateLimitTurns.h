#pragma once

#include <cstdint>
#include <optional>

#include "Base/Time.h"

namespace lycheearch {

/// Place of a daemon among those that share the rate limits of the backend servers.
struct FleetPosition
{
    int rank = 0; ///< In an order of the daemons that all of them compute alike; from 0.
    int daemons = 1;
    /// Wall-clock time minus the monotonic time of this process, so that all daemons count time
    /// from the same origin.
    Duration clockOffset{};

    bool operator==(const FleetPosition &) const = default;
};

/// Divides the rate limit of one backend server among all daemons, without messages.
///
/// A share of the limit would be far below one request per second, and buckets that are full would
/// let each daemon send at once. So the daemons take turns, evenly spaced at the rate of the limit:
/// a turn allows one request and lapses if it is not used within Lifetime. Wrong clocks and ranks
/// shift the turns of a daemon, but add none. In any time t all daemons together send at most the
/// turns of t + Lifetime.
class RateLimitTurns
{
public:
    /// How long a turn may be used.
    static constexpr Duration Lifetime = 1500ms;
    /// Limits are taken to be at least this, in requests per second, so that a server that named 0
    /// is asked again whether that still holds.
    static constexpr double MinRate = 0.1;
    /// Higher limits don't limit anything.
    static constexpr double MaxRate = 1e5;

    /// \p seed gives each server its own order of the daemons, \p perSecond is its rate limit.
    RateLimitTurns(std::uint64_t seed, double perSecond, const FleetPosition &position);

    /// The oldest turn of this daemon that can be used now, if any. \p lastUsed is the turn that
    /// was used last.
    std::optional<TimePoint> usableTurn(TimePoint lastUsed, TimePoint now) const;
    /// When the first turn begins that can be used now or later.
    TimePoint nextTurn(TimePoint lastUsed, TimePoint now) const;

private:
    double m_interval; ///< Seconds between two turns of this daemon.
    double m_phase; ///< Seconds from the origin of the wall clock to a turn.
    double m_clockOffset; ///< Seconds.
};

} // namespace lycheearch
