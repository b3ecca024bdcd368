#include "Request/Rater.h"

namespace lycheearch {

namespace {
constexpr int FailuresUntilUnhealthy = 3;
constexpr Duration UnhealthyDuration = 5s;
constexpr Duration QueueWaitTimeout = 200ms;
} // namespace

Rater::Rater(RatingService &service, VersionStats &stats, Metrics &metrics, std::size_t capacity,
             const Clock &clock)
    : m_service(service)
    , m_stats(stats)
    , m_metrics(metrics)
    , m_clock(clock)
    , m_queue(capacity)
    , m_thread("rate", [this] { return rateQueued(); })
{
}

Rater::~Rater()
{
    stop();
}

void Rater::stop()
{
    m_queue.close();
    m_thread.stop();
}

std::optional<bool> Rater::rateNow(const RatingRequest &request)
{
    const Result<double> score = m_service.rate(request);
    {
        std::lock_guard lock(m_mutex);
        m_consecutiveFailures = score.ok() ? 0 : m_consecutiveFailures + 1;
        if (m_consecutiveFailures >= FailuresUntilUnhealthy) {
            m_unhealthyUntil = m_clock.now() + UnhealthyDuration;
        }
    }
    if (!score.ok()) {
        m_metrics.count("lycheearch_rating_failures_total");
        return std::nullopt;
    }
    const bool good = score.value() >= MinGoodScore;
    m_stats.recordRating(request.taskClass, request.version, good);
    m_metrics.count("lycheearch_ratings_total",
                    "version=\"" + request.version.value() + "\",good=\""
                        + (good ? "true" : "false") + "\"");
    return good;
}

void Rater::rateLater(RatingRequest request)
{
    if (!m_queue.tryPush(std::move(request))) {
        m_metrics.count("lycheearch_rating_samples_left_out_total");
    }
}

bool Rater::healthy(TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    return now >= m_unhealthyUntil;
}

Duration Rater::rateQueued()
{
    for (const RatingRequest &request : m_queue.popBatch(1, QueueWaitTimeout)) {
        rateNow(request);
    }
    return Duration(0);
}

} // namespace lycheearch
