#pragma once

#include "Fleet/FleetRecord.h"

namespace lycheearch {

/// What the outcomes of two versions say about the newer one.
enum class VersionVerdict {
    Unremarkable, ///< No sign that it is worse.
    Doubtful, ///< Fails more often; may be chance, but decides if there is no time for more
              ///< evidence.
    Suspicious, ///< Signs of failures or slowness, too few to be sure.
    Worse, ///< Fails more often, or takes longer, by more than chance explains.
};

/// Compares the outcomes of a new version, \p target, with those of the versions that served at the
/// same time, \p other. Failures are judged by their share, latencies by the mean of their
/// logarithm, so that few very slow answers of either version decide nothing, and by the time until
/// answers begin, which is known of requests that have not ended, too.
VersionVerdict compareVersions(const VersionCounts &target, const VersionCounts &other);
/// How much later the answers of the target begin than a new version's may, in standard errors.
double answerSlowness(const VersionCounts &target, const VersionCounts &other);

} // namespace lycheearch
