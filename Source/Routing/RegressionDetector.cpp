#include "Routing/RegressionDetector.h"

#include <algorithm>
#include <cmath>

namespace lycheearch {

std::optional<std::string> RegressionDetector::observe(const VersionId &version,
                                                       const VersionOutcomes &evidence,
                                                       double baselineBadShare)
{
    const double baselineShare =
        std::clamp(baselineBadShare, MinBaselineBadShare, MaxBaselineBadShare);
    const double worseShare = baselineShare + BadShareIncrease;
    double &score = m_scores[version];
    score += evidence.good * std::log((1 - worseShare) / (1 - baselineShare));
    score = std::max(0.0, score);
    score += evidence.bad * std::log(worseShare / baselineShare);
    if (score < StopThreshold) {
        return std::nullopt;
    }
    return "answers are bad more often than the expected share of "
        + std::to_string(baselineShare).substr(0, 4);
}

double RegressionDetector::score(const VersionId &version) const
{
    const auto found = m_scores.find(version);
    return found == m_scores.end() ? 0 : found->second;
}

void RegressionDetector::reset(const VersionId &version)
{
    m_scores.erase(version);
}

} // namespace lycheearch
