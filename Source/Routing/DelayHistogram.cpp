#include "Routing/DelayHistogram.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lycheearch {

namespace {

std::size_t bucketOf(Duration delay)
{
    const double ratio = std::chrono::duration<double>(delay).count()
        / std::chrono::duration<double>(DelayHistogram::FirstBound).count();
    if (ratio <= 1) {
        return 0;
    }
    const double bucket =
        std::ceil(std::log2(ratio) * static_cast<double>(DelayHistogram::BucketsPerOctave));
    return std::min(static_cast<std::size_t>(bucket), DelayHistogram::Buckets - 1);
}

/// Moves all counts to longer delays. Those that would leave the histogram stay in its last bucket.
DelayHistogram stretched(const DelayHistogram &histogram, std::size_t stretch)
{
    DelayHistogram result;
    for (std::size_t i = 0; i < DelayHistogram::Buckets; ++i) {
        const std::size_t to = std::min(i + stretch, DelayHistogram::Buckets - 1);
        result.observed.at(to) += histogram.observed.at(i);
        result.waiting.at(to) += histogram.waiting.at(i);
    }
    return result;
}

} // namespace

void DelayHistogram::addObserved(Duration delay)
{
    ++observed.at(bucketOf(delay));
}

void DelayHistogram::addWaiting(Duration waited)
{
    ++waiting.at(bucketOf(waited));
}

std::int64_t DelayHistogram::total() const
{
    return std::accumulate(observed.begin(), observed.end(),
                           std::accumulate(waiting.begin(), waiting.end(), std::int64_t{0}));
}

DelayHistogram &DelayHistogram::operator+=(const DelayHistogram &other)
{
    for (std::size_t i = 0; i < Buckets; ++i) {
        observed.at(i) += other.observed.at(i);
        waiting.at(i) += other.waiting.at(i);
    }
    return *this;
}

double slownessScore(const DelayHistogram &target, const DelayHistogram &other, std::size_t stretch)
{
    const DelayHistogram reference = stretched(other, stretch);
    // Requests that have not had their event before the bucket.
    auto targetAtRisk = static_cast<double>(target.total());
    auto otherAtRisk = static_cast<double>(reference.total());
    double excess = 0;
    double variance = 0;
    for (std::size_t i = 0; i < DelayHistogram::Buckets; ++i) {
        // How long a request has waited within its last bucket is not known, so it does not count
        // there.
        targetAtRisk -= static_cast<double>(target.waiting.at(i));
        otherAtRisk -= static_cast<double>(reference.waiting.at(i));
        const double atRisk = targetAtRisk + otherAtRisk;
        const auto events = static_cast<double>(target.observed.at(i) + reference.observed.at(i));
        if (atRisk > 1 && events > 0) {
            const double share = targetAtRisk / atRisk;
            excess += events * share - static_cast<double>(target.observed.at(i));
            variance += events * share * (1 - share) * (atRisk - events) / (atRisk - 1);
        }
        targetAtRisk -= static_cast<double>(target.observed.at(i));
        otherAtRisk -= static_cast<double>(reference.observed.at(i));
    }
    return variance > 0 ? excess / std::sqrt(variance) : 0;
}

} // namespace lycheearch
