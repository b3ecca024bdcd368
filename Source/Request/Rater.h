#pragma once

#include <atomic>
#include <mutex>
#include <optional>

#include "Adapters/RatingService.h"
#include "Base/BoundedRing.h"
#include "Base/Metrics.h"
#include "Base/PeriodicThread.h"
#include "Routing/VersionStats.h"

namespace lycheearch {

/// Sends answers to the rating service: synchronously for cascades, and from a background thread
/// for samples. After several failures in a row the rating service counts as unhealthy for some
/// seconds. A failed call is never recorded as a rating.
class Rater
{
public:
    /// Answers with at least this score are good.
    static constexpr double MinGoodScore = 0.5;

    Rater(RatingService &service, VersionStats &stats, Metrics &metrics, std::size_t capacity,
          const Clock &clock);
    ~Rater();

    /// Rates an answer and returns whether it is good. Nothing if the rating service fails.
    std::optional<bool> rateNow(const RatingRequest &request);
    /// Queues an answer for the background thread. Drops it if the queue is full.
    void rateLater(RatingRequest request);
    /// Whether the rating service is healthy.
    bool healthy(TimePoint now) const;
    void stop();

private:
    Duration rateQueued();

    RatingService &m_service;
    VersionStats &m_stats;
    Metrics &m_metrics;
    const Clock &m_clock;
    mutable std::mutex m_mutex;
    int m_failures = 0; ///< Consecutive.
    TimePoint m_unhealthyUntil;
    BoundedRing<RatingRequest> m_ring;
    PeriodicThread m_thread;
};

} // namespace lycheearch
