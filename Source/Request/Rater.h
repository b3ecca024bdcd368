#pragma once

#include <atomic>
#include <mutex>
#include <optional>

#include "Adapters/RatingService.h"
#include "Base/BoundedQueue.h"
#include "Base/Metrics.h"
#include "Base/PeriodicThread.h"
#include "Routing/VersionStats.h"

namespace lycheearch {

/// Sends responses of models to the rating service: synchronously for cascades, and from a
/// background thread for samples. After several consecutive failures, the rating service counts as
/// unhealthy for some seconds. A failed call is never recorded as a rating.
class Rater
{
public:
    /// Responses with at least this score are good.
    static constexpr double MinGoodScore = 0.5;

    Rater(RatingService &service, VersionStats &stats, Metrics &metrics, std::size_t capacity,
          const Clock &clock);
    ~Rater();

    /// Rates a response and returns whether it is good; std::nullopt if the rating service fails.
    std::optional<bool> rateNow(const RatingRequest &request);
    /// Queues a response for the background thread, or drops it if the queue is full.
    void rateLater(RatingRequest request);
    bool healthy(TimePoint now) const;
    void stop();

private:
    Duration rateQueued();

    RatingService &m_service;
    VersionStats &m_stats;
    Metrics &m_metrics;
    const Clock &m_clock;
    mutable std::mutex m_mutex;
    int m_consecutiveFailures = 0;
    TimePoint m_unhealthyUntil;
    BoundedQueue<RatingRequest> m_queue;
    PeriodicThread m_thread;
};

} // namespace lycheearch
