#include "Routing/ModelCascade.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace lycheearch {

namespace {

/// Utility of a wrong answer. A correct answer in time has a utility of 1.
constexpr double WrongAnswerUtility = 0.05;
/// Utility of a correct answer that misses its latency objective.
constexpr double LateAnswerUtility = 0.3;
/// Utility that a second run costs: the expected gain of an escalation must exceed it.
constexpr double SecondRunCost = 0.15;
/// Fractions of the latency objective: an answer is in time if its first event is expected up to
/// OnTimeFraction, and late from LateFraction on. In between, the probability that it is late rises
/// linearly.
constexpr double OnTimeFraction = 0.4;
constexpr double LateFraction = 1.2;
/// Factor on the latency objective, by the route's priority (0 is the highest). A higher priority
/// tolerates a later first event, so that its requests are still escalated under a load at which
/// others keep the small model's answer.
constexpr double LatencyToleranceFactor[] = {2.0, 1.2, 0.6};
/// Mean wait at the engines up to which a second run has no penalty, as a fraction of the latency
/// objective.
constexpr double NoPenaltyWaitFraction = 0.2;
/// Wait beyond NoPenaltyWaitFraction at which the penalty reaches 1, the utility of a correct
/// answer, by the route's priority. The penalty exists because a second run delays the requests
/// behind it in the engine's queue.
constexpr double FullPenaltyWaitFraction[] = {0.8, 0.5, 0.25};
/// Safety factor on the expected time from the first event of an answer to its end.
constexpr double RemainderSafetyFactor = 1.5;
/// Time constant with which observations of engines decay.
constexpr Duration ObservationTimeConstant = 6s;
/// Seconds to the first event for each weighted prompt token, before the first observation.
constexpr double DefaultSecondsPerToken = 60e-6;
/// Weight of DefaultSecondsPerToken, as a number of observed tokens.
constexpr double DefaultWeightTokens = 20'000;
/// Seconds between two events of a model, before the first observation.
constexpr double DefaultGapSeconds = 0.1;
/// Weight of DefaultGapSeconds, as a number of observed gaps.
constexpr double DefaultWeightGaps = 10;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::size_t priorityIndex(const Route &route)
{
    return static_cast<std::size_t>(
        std::clamp(route.priority, 0, static_cast<int>(std::size(LatencyToleranceFactor)) - 1));
}

} // namespace

std::string ModelCascade::first(const Route &route) const
{
    return route.models.empty() ? std::string() : route.models.front();
}

std::optional<std::string> ModelCascade::next(const Route &route, const std::string &model) const
{
    if (route.models.empty() || model == route.models.back()) {
        return std::nullopt;
    }
    return route.models.back();
}

EscalationDecision ModelCascade::decideEscalation(const Route &route, const std::string &largest,
                                                  const EscalationInput &input, TimePoint now) const
{
    const double correctProbability =
        1 / (1 + std::exp((m_calibration.midpoint - input.confidence) / m_calibration.scale));
    EscalationDecision decision;
    decision.keptUtility = correctProbability + (1 - correctProbability) * WrongAnswerUtility;
    decision.escalatedUtility = timeliness(route, largest, input, now) - SecondRunCost
        - queueingPenalty(route, largest, input, now);
    decision.escalate = decision.escalatedUtility > decision.keptUtility;
    return decision;
}

double ModelCascade::queueingPenalty(const Route &route, const std::string &largest,
                                     const EscalationInput &input, TimePoint now) const
{
    const double waitFraction =
        secondsPerToken(largest, now) * input.meanBacklog / seconds(route.latencyObjective);
    return std::max(0.0, waitFraction - NoPenaltyWaitFraction)
        / FullPenaltyWaitFraction[priorityIndex(route)];
}

double ModelCascade::timeliness(const Route &route, const std::string &largest,
                                const EscalationInput &input, TimePoint now) const
{
    const double firstEventSeconds = secondsPerToken(largest, now) * input.workTokens;
    const double remainderSeconds =
        gapSeconds(largest, now) * std::max(0.0, input.expectedEvents - 1);
    if (firstEventSeconds + RemainderSafetyFactor * remainderSeconds >= seconds(input.timeLeft)) {
        return 0;
    }
    const double objectiveFraction = (seconds(input.elapsed) + firstEventSeconds)
        / (seconds(route.latencyObjective) * LatencyToleranceFactor[priorityIndex(route)]);
    const double lateProbability = std::clamp(
        (objectiveFraction - OnTimeFraction) / (LateFraction - OnTimeFraction), 0.0, 1.0);
    return 1 - lateProbability * (1 - LateAnswerUtility);
}

double ModelCascade::secondsPerToken(const std::string &model, TimePoint now) const
{
    const auto found = m_secondsPerToken.find(model);
    return found == m_secondsPerToken.end() ? DefaultSecondsPerToken : found->second.value(now);
}

Duration ModelCascade::timePerToken(const std::string &model, TimePoint now) const
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(secondsPerToken(model, now)));
}

double ModelCascade::gapSeconds(const std::string &model, TimePoint now) const
{
    const auto found = m_gapSeconds.find(model);
    return found == m_gapSeconds.end() ? DefaultGapSeconds : found->second.value(now);
}

void ModelCascade::onFirstEvent(const std::string &model, double workTokens, Duration latency,
                                TimePoint now)
{
    m_secondsPerToken
        .try_emplace(
            model,
            DecayingRatio(DefaultSecondsPerToken, DefaultWeightTokens, ObservationTimeConstant))
        .first->second.add(seconds(latency), workTokens, now);
}

void ModelCascade::onGap(const std::string &model, Duration gap, TimePoint now)
{
    m_gapSeconds
        .try_emplace(model,
                     DecayingRatio(DefaultGapSeconds, DefaultWeightGaps, ObservationTimeConstant))
        .first->second.add(seconds(gap), 1, now);
}

} // namespace lycheearch
