#pragma once

#include <map>
#include <optional>
#include <string>

#include "Base/Ids.h"

namespace lycheearch {

/// Answers of a version since the previous check.
struct VersionOutcomes
{
    double good = 0;
    double bad = 0; ///< Rated bad, or failed.
};

/// Detects a version whose answers are bad more often than those of the version that it replaces.
/// It is a CUSUM test (Page, 1954): the score of a version is the cumulative sum of the log
/// likelihood ratio between "bad share of the baseline plus BadShareIncrease" and "bad share of the
/// baseline", floored at zero, so that a version that degrades after a long good period is stopped
/// as fast as a new one. docs/design/rollouts.md derives the bound on exposed requests. Not
/// thread-safe.
class RegressionDetector
{
public:
    /// Increase of the bad share over the baseline that the test is designed to detect.
    static constexpr double BadShareIncrease = 0.25;
    /// Score at which a version is stopped. The mean number of rated answers between two false
    /// stops is at least e to this power.
    static constexpr double StopThreshold = 20.0;
    /// Score at which a version becomes a suspect, see SuspectVersions.
    static constexpr double SuspectThreshold = 3.0;
    /// Range to which the baseline is clamped.
    static constexpr double MinBaselineBadShare = 0.02;
    static constexpr double MaxBaselineBadShare = 0.70;

    /// Adds the answers since the previous call to the version's score. \p baselineBadShare is the
    /// expected share of bad answers. Returns the reason if the version must be stopped.
    std::optional<std::string> observe(const VersionId &version, const VersionOutcomes &evidence,
                                       double baselineBadShare);

    /// Current score; 0 for a version without evidence.
    double score(const VersionId &version) const;
    /// Resets the score to 0.
    void reset(const VersionId &version);

private:
    std::map<VersionId, double> m_scores;
};

} // namespace lycheearch
