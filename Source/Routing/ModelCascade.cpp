#include "Routing/ModelCascade.h"

#include <algorithm>
#include <iterator>

namespace lycheearch {

namespace {

/// What a wrong answer is worth, as a part of a right one.
constexpr double WrongAnswerWorth = 0.05;
/// What a right answer is worth that misses its latency objective.
constexpr double LateAnswerWorth = 0.3;
/// How much better the largest model's answer must be expected to be, as a part of what a right
/// answer is worth: the price of a second run.
constexpr double SecondRunCost = 0.45;
/// An expected first event at these parts of the latency objective is surely in time and surely
/// late; between them the chance falls evenly.
constexpr double SurelyInTime = 0.4;
constexpr double SurelyLate = 1.2;
/// How much waiting at the engines a route's requests bear before they make do with the small
/// model, by the route's priority: the most important give way last.
constexpr double Patience[] = {2.0, 1.2, 0.6};
/// Weight of the newest observation of speed.
constexpr double SpeedWeight = 0.1;
/// Work below this tells nothing about speed.
constexpr double LeastWork = 500;
constexpr double FullConfidence = 100;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
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

bool ModelCascade::escalate(const Route &route, const std::string &largest,
                            const CascadeQuestion &question) const
{
    const double right = std::clamp(question.confidence / FullConfidence, 0.0, 1.0);
    const double taken = right + (1 - right) * WrongAnswerWorth;
    return timeliness(route, largest, question) - SecondRunCost > taken;
}

double ModelCascade::timeliness(const Route &route, const std::string &largest,
                                const CascadeQuestion &question) const
{
    const double firstEvent = m_secondsPerToken * question.workTokens;
    const auto gap = m_gapSeconds.find(largest);
    const double rest =
        gap == m_gapSeconds.end() ? 0 : gap->second * std::max(0.0, question.expectedEvents - 1);
    if (firstEvent + rest >= seconds(question.timeLeft)) {
        return 0;
    }
    const int rank = std::clamp(route.priority, 0, static_cast<int>(std::size(Patience)) - 1);
    const double part = (seconds(question.elapsed) + firstEvent)
        / (seconds(route.latencyObjective) * Patience[rank]);
    const double late = std::clamp((part - SurelyInTime) / (SurelyLate - SurelyInTime), 0.0, 1.0);
    return 1 - late * (1 - LateAnswerWorth);
}

void ModelCascade::onFirstEvent(double workTokens, Duration latency)
{
    if (workTokens >= LeastWork) {
        m_secondsPerToken += SpeedWeight * (seconds(latency) / workTokens - m_secondsPerToken);
    }
}

void ModelCascade::onGap(const std::string &model, Duration gap)
{
    double &known = m_gapSeconds.try_emplace(model, seconds(gap)).first->second;
    known += SpeedWeight * (seconds(gap) - known);
}

} // namespace lycheearch
