#include "Routing/RegressionMonitor.h"

#include <algorithm>

namespace lycheearch {

namespace {
/// Ratings that a version needs before its bad share serves as a baseline.
constexpr double MinRatings = 30;

constexpr double BoundZScore = 1.64; ///< z-score of a one-sided 95 % confidence bound.

/// Upper confidence bound of the share of bad answers, so that a few good answers at the start do
/// not set a baseline that is too strict.
double badShareUpperBound(const VersionCount &count)
{
    const double outcomes = count.rated + count.errors;
    return 1.0 - wilsonLowerBound(count.good, outcomes, BoundZScore);
}

/// Increase of a count since the previous check. Counts decay, so a decrease counts as zero.
double increase(double now, double before)
{
    return std::max(0.0, now - before);
}
} // namespace

RegressionMonitor::RegressionMonitor(const VersionStats &stats, SuspectVersions &suspects)
    : m_stats(stats)
    , m_suspects(suspects)
{
}

std::optional<double> RegressionMonitor::baselineBadShare(const ConfigState &config,
                                                          const VersionSpec &version,
                                                          const VersionCount &before) const
{
    if (version.replaces.empty()) {
        // A version that replaces no other one is compared with its own earlier answers.
        return before.rated >= MinRatings ? std::optional(badShareUpperBound(before))
                                          : std::nullopt;
    }
    const VersionCount replaced = m_stats.total(version.replaces);
    return replaced.rated >= MinRatings ? badShareUpperBound(replaced)
                                        : 1.0 - config.manifest->qualityTarget;
}

bool RegressionMonitor::hasActiveAlternative(const ConfigState &config, const VersionSpec &version)
{
    for (const VersionSpec &other : config.manifest->models.at(version.model).versions) {
        if (other.id != version.id && config.stateOf(other.id) == VersionState::Active) {
            return true;
        }
    }
    return false;
}

std::vector<VersionStopDecision> RegressionMonitor::findRegressions(const ConfigState &config)
{
    std::vector<VersionStopDecision> stops;
    for (const auto &[modelId, model] : config.manifest->models) {
        for (const VersionSpec &version : model.versions) {
            const VersionCount count = m_stats.total(version.id);
            const VersionCount before = m_previousCounts[version.id];
            m_previousCounts[version.id] = count;
            const VersionOutcomes evidence{
                increase(count.good, before.good),
                increase(count.rated - count.good, before.rated - before.good)
                    + increase(count.errors, before.errors)};
            const bool acceptsRequests = config.stateOf(version.id) != VersionState::Withdrawn;
            const auto baseline = baselineBadShare(config, version, before);
            // A version is only stopped while another active version can serve its requests.
            if (!acceptsRequests || !baseline || !hasActiveAlternative(config, version)) {
                m_detector.reset(version.id);
                m_suspects.set(version.id, false);
                continue;
            }
            const auto reason = m_detector.observe(version.id, evidence, *baseline);
            m_suspects.set(version.id,
                           m_detector.score(version.id) >= RegressionDetector::SuspectThreshold);
            if (reason) {
                stops.push_back({version.id, *reason});
            }
        }
    }
    return stops;
}

} // namespace lycheearch
