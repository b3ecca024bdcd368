#include "Routing/VersionComparison.h"

#include <algorithm>
#include <cmath>

namespace lycheearch {

namespace {

/// Bad answers below which the target is neither worse nor suspicious.
constexpr std::int64_t MinBadAnswersWorse = 4;
constexpr std::int64_t MinBadAnswersSuspicious = 2;
/// A difference of the failure shares up to this is accepted.
constexpr double MinShareExcess = 0.05;
/// Standard errors by which the failure shares of a worse target differ.
constexpr double MinZScore = 3.0;
/// A suspicious or doubtful target has at least as many failures with a smaller probability than
/// this, if it fails as often as the other versions.
constexpr double SuspiciousProbability = 0.002;
constexpr double DoubtfulProbability = 0.02;
/// Failure share that is assumed of the other versions at least.
constexpr double MinBaselineShare = 0.01;

/// Timed answers that both sides need before their latencies are compared.
constexpr std::int64_t MinTimedAnswers = 4;
/// The target is worse if its latencies are this many times those of the others, with a margin of
/// this number of standard errors.
constexpr double SlowFactor = 1.6;
constexpr double MinLatencyZScore = 3.5;
/// Variance of the logarithm of latencies that is assumed at least: few samples underestimate it.
constexpr double MinLogLatencyVariance = 0.25;

/// Half octaves by which the answers of a new version may begin later: its servers have to read
/// prompts that the others have cached.
constexpr std::size_t AnswerDelayMargin = 3;
/// Requests of the target that are needed for a verdict by the begin of answers.
constexpr std::int64_t MinDelays = 5;
/// Standard errors by which the answers of a worse or suspicious target begin later.
constexpr double WorseSlowness = 4.0;
constexpr double SuspiciousSlowness = 1.5;

double badShare(const VersionCounts &counts)
{
    const std::int64_t answers = counts.answers();
    return answers > 0 ? static_cast<double>(counts.bad) / static_cast<double>(answers) : 0;
}

/// Probability of at least \p hits successes in \p trials trials of probability \p share each.
double binomialTail(std::int64_t trials, std::int64_t hits, double share)
{
    double term = std::pow(1 - share, static_cast<double>(trials));
    double below = 0;
    for (std::int64_t i = 0; i < hits; ++i) {
        below += term;
        term *= static_cast<double>(trials - i) / static_cast<double>(i + 1) * share / (1 - share);
    }
    return std::max(0.0, 1 - below);
}

bool failsMoreOften(const VersionCounts &target, const VersionCounts &other)
{
    if (target.bad < MinBadAnswersWorse) {
        return false;
    }
    const auto answers = static_cast<double>(target.answers());
    const auto otherAnswers = static_cast<double>(other.answers());
    const double excess = badShare(target) - badShare(other);
    const double pooled =
        static_cast<double>(target.bad + other.bad) / (answers + std::max(otherAnswers, 0.0));
    const double standardError = std::sqrt(std::max(pooled * (1 - pooled), 1e-6)
                                           * (1 / answers + 1 / std::max(otherAnswers, 1.0)));
    return excess > MinShareExcess && excess / standardError > MinZScore;
}

/// Probability that the target has so many failures if it fails as often as the other versions; 1
/// if they are too few to say anything.
double failureProbability(const VersionCounts &target, const VersionCounts &other)
{
    if (target.bad < MinBadAnswersSuspicious
        || badShare(target) - badShare(other) <= MinShareExcess) {
        return 1;
    }
    const double baseline = std::max(MinBaselineShare, badShare(other));
    return binomialTail(target.answers(), target.bad, baseline);
}

double meanLogLatency(const VersionCounts &counts)
{
    return counts.logLatencySum / static_cast<double>(counts.latencySamples);
}

/// Variance of the mean of the logarithms.
double meanLogVariance(const VersionCounts &counts)
{
    const auto samples = static_cast<double>(counts.latencySamples);
    const double mean = meanLogLatency(counts);
    const double variance = counts.logLatencySquares / samples - mean * mean;
    return std::max(variance, MinLogLatencyVariance) / samples;
}

bool takesLonger(const VersionCounts &target, const VersionCounts &other)
{
    if (target.latencySamples < MinTimedAnswers || other.latencySamples < MinTimedAnswers) {
        return false;
    }
    const double difference = meanLogLatency(target) - meanLogLatency(other);
    const double standardError = std::sqrt(meanLogVariance(target) + meanLogVariance(other));
    return difference - MinLatencyZScore * standardError > std::log(SlowFactor);
}

} // namespace

double answerSlowness(const VersionCounts &target, const VersionCounts &other)
{
    if (target.answerDelays.total() < MinDelays) {
        return 0;
    }
    return slownessScore(target.answerDelays, other.answerDelays, AnswerDelayMargin);
}

VersionVerdict compareVersions(const VersionCounts &target, const VersionCounts &other)
{
    const double slowness = answerSlowness(target, other);
    if (failsMoreOften(target, other) || takesLonger(target, other) || slowness > WorseSlowness) {
        return VersionVerdict::Worse;
    }
    const double probability = failureProbability(target, other);
    if (probability < SuspiciousProbability || slowness > SuspiciousSlowness) {
        return VersionVerdict::Suspicious;
    }
    return probability < DoubtfulProbability ? VersionVerdict::Doubtful
                                             : VersionVerdict::Unremarkable;
}

} // namespace lycheearch
