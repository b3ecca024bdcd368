#pragma once

#include <map>
#include <optional>
#include <string>

#include "Base/Ids.h"

namespace lycheearch {

/// Answers of a version since it was last looked at.
struct RolloutEvidence
{
    double good = 0;
    double bad = 0; ///< Rated bad, or failed.
};

/// Stops a version whose answers are worse than those of the version it replaces. It is a
/// cumulative sum of the log likelihood ratio between "as bad as the replaced version" and "worse
/// by WorseBy", floored at zero, so that a version that turns bad after a long good time is
/// stopped as fast as a new one (Page, 1954). docs/design/rollouts.md derives the bound on
/// exposed requests. Not thread-safe.
class RolloutGuard
{
public:
    static constexpr double WorseBy = 0.25;
    /// The mean number of rated answers between two false stops is at least exp(Threshold).
    static constexpr double Threshold = 20.0;
    /// From this score on, a version is a suspect.
    static constexpr double SuspectScore = 3.0;
    static constexpr double LeastBadShare = 0.02;
    static constexpr double MostBadShare = 0.70;

    /// Adds evidence. \p baselineBad is the share of bad answers of the replaced version.
    /// Returns why the version must be stopped, if it must.
    std::optional<std::string> observe(const VersionId &version, const RolloutEvidence &evidence,
                                       double baselineBad);

    double score(const VersionId &version) const;
    void forget(const VersionId &version);

private:
    std::map<VersionId, double> m_scores;
};

} // namespace lycheearch
