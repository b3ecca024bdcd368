#include "Routing/RolloutWatch.h"

#include <algorithm>

namespace lycheearch {

namespace {
constexpr double EnoughRatings = 30;

double badShare(const VersionCount &count)
{
    const double outcomes = count.rated + count.errors;
    return outcomes > 0 ? (count.rated - count.good + count.errors) / outcomes : 0;
}

/// Growth of a count; counts fade, which is no evidence.
double growth(double now, double before)
{
    return std::max(0.0, now - before);
}
} // namespace

RolloutWatch::RolloutWatch(const VersionStats &stats)
    : m_stats(stats)
{
}

double RolloutWatch::baselineBad(const ConfigState &config, const VersionSpec &version) const
{
    const VersionCount replaced = m_stats.total(version.replaces);
    if (!version.replaces.empty() && replaced.rated >= EnoughRatings) {
        return badShare(replaced);
    }
    // Without a version to compare with, or enough of its ratings, the target is the yardstick.
    return 1.0 - config.manifest->qualityTarget;
}

std::vector<VersionStopDecision> RolloutWatch::look(const ConfigState &config)
{
    std::vector<VersionStopDecision> stops;
    for (const auto &[modelId, model] : config.manifest->models) {
        for (const VersionSpec &version : model.versions) {
            const VersionCount count = m_stats.total(version.id);
            VersionCount &seen = m_seen[version.id];
            const RolloutEvidence evidence{growth(count.good, seen.good),
                                           growth(count.rated - count.good, seen.rated - seen.good)
                                               + growth(count.errors, seen.errors)};
            seen = count;
            const bool takesWork = config.stateOf(version.id) != VersionState::Withdrawn;
            // A version is only stopped while another one can take its work.
            const bool replaceable = !version.replaces.empty()
                && config.stateOf(version.replaces) == VersionState::Active;
            if (!takesWork || !replaceable) {
                m_guard.forget(version.id);
                continue;
            }
            const auto reason = m_guard.observe(version.id, evidence, baselineBad(config, version));
            if (reason) {
                stops.push_back({version.id, *reason});
            }
        }
    }
    return stops;
}

} // namespace lycheearch
