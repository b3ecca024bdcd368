#include "Routing/RolloutCounts.h"

#include <algorithm>
#include <cmath>

namespace lycheearch {

namespace {

/// Shorter latencies count as this one, so that the logarithm stays finite.
constexpr Duration ShortestLatency = 1ms;

} // namespace

void RolloutCounts::onSent(const ServiceId &service, const VersionId &version)
{
    VersionCounts &counts = m_counts[service][version];
    ++counts.inFlight;
    ++counts.sent;
}

void RolloutCounts::onEnded(const ServiceId &service, const VersionId &version,
                            std::optional<bool> good, std::optional<Duration> latency)
{
    VersionCounts &counts = m_counts[service][version];
    --counts.inFlight;
    if (!good) {
        return;
    }
    ++(*good ? counts.good : counts.bad);
    if (*good && latency) {
        const Duration measured = std::max<Duration>(*latency, ShortestLatency);
        const double logSeconds = std::log(std::chrono::duration<double>(measured).count());
        ++counts.latencySamples;
        counts.logLatencySum += logSeconds;
        counts.logLatencySquares += logSeconds * logSeconds;
    }
}

std::vector<RolloutEvidence> RolloutCounts::evidence(const InstanceId &self,
                                                     const FleetView &view) const
{
    std::vector<RolloutEvidence> all;
    for (const auto &[service, order] : view.rollouts()) {
        RolloutEvidence evidence;
        evidence.daemon = self;
        evidence.service = service;
        evidence.target = order.target;
        const auto stage = view.stages().find(service);
        evidence.stage = stage == view.stages().end() ? 0 : stage->second.stage;
        if (const auto versions = m_counts.find(service); versions != m_counts.end()) {
            for (const auto &[version, counts] : versions->second) {
                VersionCounts &side =
                    version == order.target ? evidence.targetCounts : evidence.otherCounts;
                side = side + counts;
            }
        }
        all.push_back(std::move(evidence));
    }
    return all;
}

VersionCounts operator+(const VersionCounts &left, const VersionCounts &right)
{
    return {left.good + right.good,
            left.bad + right.bad,
            left.latencySamples + right.latencySamples,
            left.logLatencySum + right.logLatencySum,
            left.logLatencySquares + right.logLatencySquares,
            left.inFlight + right.inFlight,
            left.sent + right.sent};
}

} // namespace lycheearch
