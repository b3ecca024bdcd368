#pragma once

#include <atomic>
#include <mutex>
#include <optional>

#include "Base/BoundedRing.h"
#include "Base/DutyThread.h"
#include "Base/Metrics.h"
#include "OwnFormats/RatingService.h"
#include "Routing/VersionStats.h"

namespace lycheearch {

/// Has answers rated: at once for cascades, and by a duty for samples. A rating service that is
/// slow, silent or gone makes it unhealthy; it never counts as a rating.
class Rater
{
public:
    static constexpr double GoodScore = 0.5;

    Rater(RatingService &service, VersionStats &stats, Metrics &metrics, std::size_t capacity,
          const Clock &clock);
    ~Rater();

    /// Rates now. Nothing if the service does not say.
    std::optional<bool> rateNow(const RatingRequest &request);
    /// Rates later. A sample that finds the ring full is left out.
    void rateLater(RatingRequest request);
    bool healthy(TimePoint now) const;
    void stop();

private:
    Duration step();

    RatingService &m_service;
    VersionStats &m_stats;
    Metrics &m_metrics;
    const Clock &m_clock;
    mutable std::mutex m_mutex;
    int m_failures = 0; ///< In a row.
    TimePoint m_unhealthyUntil;
    BoundedRing<RatingRequest> m_ring;
    DutyThread m_duty;
};

} // namespace lycheearch
