#include "Routing/ModelCascade.h"

#include <algorithm>

namespace lycheearch {

namespace {

/// What a wrong answer is worth, as a part of a right one.
constexpr double WrongAnswerWorth = 0.05;
/// What a right answer is worth that misses its latency objective.
constexpr double LateAnswerWorth = 0.3;
/// How much better the largest model's answer must be expected to be, as a part of what a right
/// answer is worth: the price of a second run.
constexpr double SecondRunCost = 0.5;
/// Weight of the newest observation of a model's speed.
constexpr double SpeedWeight = 0.05;
constexpr double FullConfidence = 100;

} // namespace

std::string ModelCascade::first(const Route &route) const
{
    return route.models.empty() ? std::string() : route.models.front();
}

std::optional<std::string> ModelCascade::escalate(const Route &route,
                                                  const CascadeQuestion &question) const
{
    if (route.models.empty() || question.model == route.models.back() || !question.confidence) {
        return std::nullopt;
    }
    const std::string &largest = route.models.back();
    const double right = std::clamp(*question.confidence / FullConfidence, 0.0, 1.0);
    const double taken = right + (1 - right) * WrongAnswerWorth;
    if (timeliness(route, largest, question) - SecondRunCost <= taken) {
        return std::nullopt;
    }
    return largest;
}

double ModelCascade::timeliness(const Route &route, const std::string &model,
                                const CascadeQuestion &question) const
{
    const auto found = m_speeds.find(model);
    if (found == m_speeds.end()) {
        return 1;
    }
    const Duration firstEvent(static_cast<std::int64_t>(found->second.firstEventUs));
    if (firstEvent >= question.timeLeft) {
        return 0;
    }
    return question.elapsed + firstEvent > route.latencyObjective ? LateAnswerWorth : 1;
}

void ModelCascade::onFirstEvent(const std::string &model, Duration latency)
{
    Speed &speed = m_speeds[model];
    speed.firstEventUs += SpeedWeight * (static_cast<double>(latency.count()) - speed.firstEventUs);
}

void ModelCascade::onGap(const std::string &model, Duration gap)
{
    Speed &speed = m_speeds[model];
    speed.gapUs += SpeedWeight * (static_cast<double>(gap.count()) - speed.gapUs);
}

} // namespace lycheearch
