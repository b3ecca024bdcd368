#include "Routing/RolloutGuard.h"

#include <algorithm>
#include <cmath>

namespace lycheearch {

std::optional<std::string>
RolloutGuard::observe(const VersionId &version, const RolloutEvidence &evidence, double baselineBad)
{
    const double expected = std::clamp(baselineBad, LeastBadShare, MostBadShare);
    const double worse = expected + WorseBy;
    double &score = m_scores[version];
    score += evidence.good * std::log((1 - worse) / (1 - expected));
    score = std::max(0.0, score);
    score += evidence.bad * std::log(worse / expected);
    if (score < Threshold) {
        return std::nullopt;
    }
    return "answers are bad more often than the expected share of "
        + std::to_string(expected).substr(0, 4);
}

double RolloutGuard::score(const VersionId &version) const
{
    const auto found = m_scores.find(version);
    return found == m_scores.end() ? 0 : found->second;
}

void RolloutGuard::forget(const VersionId &version)
{
    m_scores.erase(version);
}

} // namespace lycheearch
