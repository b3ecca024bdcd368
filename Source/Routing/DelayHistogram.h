#pragma once

#include <array>
#include <cstdint>

#include "Base/Time.h"

namespace lycheearch {

/// Delays until an event, by half octaves. A request whose event has not come counts with the time
/// that it has waited so far, so that slow requests are not missing just because they are slow.
struct DelayHistogram
{
    static constexpr std::size_t Buckets = 28;
    /// Upper bound of the first bucket; that of each other one is larger by the square root of two.
    static constexpr Duration FirstBound = 8ms;
    /// Buckets by which delays differ that are twice as long.
    static constexpr std::size_t BucketsPerOctave = 2;

    using Counts = std::array<std::int64_t, Buckets>;

    Counts observed{}; ///< The event came in this bucket.
    Counts waiting{}; ///< The event had not come by this bucket.

    void addObserved(Duration delay);
    void addWaiting(Duration waited);
    /// All requests, with and without the event.
    std::int64_t total() const;
    DelayHistogram &operator+=(const DelayHistogram &other);

    bool operator==(const DelayHistogram &) const = default;
};

/// How much longer \p target waits than \p other if the delays of \p other are stretched by
/// \p stretch buckets, in standard errors (the log-rank test). Positive if the target is slower.
double slownessScore(const DelayHistogram &target, const DelayHistogram &other,
                     std::size_t stretch);

} // namespace lycheearch
