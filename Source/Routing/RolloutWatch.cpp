#include "Routing/RolloutWatch.h"

#include <algorithm>

namespace lycheearch {

namespace {
/// Ratings that a version needs before its bad share serves as a baseline.
constexpr double EnoughRatings = 30;

constexpr double BoundDeviations = 1.64; ///< z-score of a one-sided 95 % confidence bound.

/// Upper confidence bound of the share of bad answers, so that a few good answers at the start do
/// not set a baseline that is too strict.
double badShare(const VersionCount &count)
{
    const double outcomes = count.rated + count.errors;
    return 1.0 - wilsonLowerBound(count.good, outcomes, BoundDeviations);
}

/// Increase of a count since the previous check. Counts decay, so a decrease counts as zero.
double growth(double now, double before)
{
    return std::max(0.0, now - before);
}
} // namespace

RolloutWatch::RolloutWatch(const VersionStats &stats, SuspectVersions &suspects)
    : m_stats(stats)
    , m_suspects(suspects)
{
}

std::optional<double> RolloutWatch::baselineBad(const ConfigState &config,
                                                const VersionSpec &version,
                                                const VersionCount &before) const
{
    if (version.replaces.empty()) {
        // A version that replaces no other one is compared with its own earlier answers.
        return before.rated >= EnoughRatings ? std::optional(badShare(before)) : std::nullopt;
    }
    const VersionCount replaced = m_stats.total(version.replaces);
    return replaced.rated >= EnoughRatings ? badShare(replaced)
                                           : 1.0 - config.manifest->qualityTarget;
}

bool RolloutWatch::replaceable(const ConfigState &config, const VersionSpec &version)
{
    for (const VersionSpec &other : config.manifest->models.at(version.model).versions) {
        if (other.id != version.id && config.stateOf(other.id) == VersionState::Active) {
            return true;
        }
    }
    return false;
}

std::vector<VersionStopDecision> RolloutWatch::look(const ConfigState &config)
{
    std::vector<VersionStopDecision> stops;
    for (const auto &[modelId, model] : config.manifest->models) {
        for (const VersionSpec &version : model.versions) {
            const VersionCount count = m_stats.total(version.id);
            const VersionCount before = m_seen[version.id];
            m_seen[version.id] = count;
            const RolloutEvidence evidence{
                growth(count.good, before.good),
                growth(count.rated - count.good, before.rated - before.good)
                    + growth(count.errors, before.errors)};
            const bool takesWork = config.stateOf(version.id) != VersionState::Withdrawn;
            const auto baseline = baselineBad(config, version, before);
            // A version is only stopped while another active version can serve its requests.
            if (!takesWork || !baseline || !replaceable(config, version)) {
                m_guard.forget(version.id);
                m_suspects.set(version.id, false);
                continue;
            }
            const auto reason = m_guard.observe(version.id, evidence, *baseline);
            m_suspects.set(version.id, m_guard.score(version.id) >= RolloutGuard::SuspectScore);
            if (reason) {
                stops.push_back({version.id, *reason});
            }
        }
    }
    return stops;
}

} // namespace lycheearch
