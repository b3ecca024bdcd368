#pragma once

#include <map>
#include <vector>

#include "Config/ConfigState.h"
#include "Routing/RegressionDetector.h"
#include "Routing/SuspectVersions.h"
#include "Routing/VersionStats.h"

namespace lycheearch {

/// A version that must be stopped, and the reason.
struct VersionStopDecision
{
    VersionId version;
    std::string reason;
};

/// Checks every version that is not withdrawn for a regression of its answers. Each check adds the
/// increase of the fleet's counts since the previous one to the version's regression score, and
/// updates the set of suspect versions.
class RegressionMonitor
{
public:
    RegressionMonitor(const VersionStats &stats, SuspectVersions &suspects);

    /// Runs a check. Returns the versions that must be stopped.
    std::vector<VersionStopDecision> findRegressions(const ConfigState &config);

private:
    /// Expected share of bad answers: that of the replaced version or, for a version that replaces
    /// none, that of its own earlier answers. While there are too few ratings, the share that the
    /// quality target permits, or std::nullopt for a version that replaces none.
    std::optional<double> baselineBadShare(const ConfigState &config, const VersionSpec &version,
                                           const VersionCount &before) const;
    /// Whether the model has another active version.
    static bool hasActiveAlternative(const ConfigState &config, const VersionSpec &version);

    const VersionStats &m_stats;
    SuspectVersions &m_suspects;
    RegressionDetector m_detector;
    std::map<VersionId, VersionCount> m_previousCounts;
};

} // namespace lycheearch
