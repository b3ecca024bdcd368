#pragma once

#include <map>
#include <optional>
#include <string>

#include "Base/Time.h"
#include "Fleet/RoutingConfig.h"
#include "Routing/DecayingRatio.h"

namespace lycheearch {

/// Input of the decision whether to escalate a request from the small model's answer to the largest
/// model.
struct EscalationInput
{
    int confidence = 0; ///< The small model's own confidence in its answer, 0 to 100.
    double workTokens = 0; ///< Weighted prompt tokens until the largest model's first event.
    double meanBacklog = 0; ///< Mean number of weighted prompt tokens queued at an engine.
    double expectedEvents = 0; ///< Events of the whole answer; 0 if unknown.
    Duration elapsed{}; ///< Since the request was received.
    Duration timeLeft{}; ///< Until the request's deadline.
};

/// Logistic curve that converts a model's confidence in its answer to the probability that the
/// answer is correct.
struct ConfidenceCalibration
{
    double midpoint = 50; ///< Confidence at which the probability is one half.
    double scale = 4; ///< Increase of the confidence that multiplies the odds by e.
};

/// Whether to escalate, and the expected utilities that were compared. A correct answer in time has
/// a utility of 1.
struct EscalationDecision
{
    bool escalate = false; ///< Whether to drop the small model's answer and run the largest model.
    double keptUtility = 0; ///< Utility of the small model's answer.
    double escalatedUtility = 0; ///< Utility of a run of the largest model, minus its costs.
};

/// Chooses the model of each request. The smallest model runs first; before any of its answer is
/// sent to the caller, the request is escalated to the largest model if the answer is probably
/// wrong and the largest model can still answer in time. At low load, this saves cost where a small
/// model suffices. Under overload, the backlog at the engines lowers the utility of an escalation,
/// so that only the least confident answers are escalated.
class ModelCascade
{
public:
    explicit ModelCascade(ConfidenceCalibration calibration = {})
        : m_calibration(calibration)
    {
    }

    /// The model that runs first; empty if the route names no models.
    std::string first(const Route &route) const;
    /// The model to which an answer of \p model can be escalated, which is the route's largest one;
    /// std::nullopt if the route names no models or \p model is the largest.
    std::optional<std::string> next(const Route &route, const std::string &model) const;
    /// Compares the expected utility of the small model's answer with that of the largest model.
    EscalationDecision decideEscalation(const Route &route, const std::string &largest,
                                        const EscalationInput &input, TimePoint now) const;
    /// Records the time to the first event of an answer, \p latency, and the weighted prompt tokens
    /// that the engine processed until then.
    void onFirstEvent(const std::string &model, double workTokens, Duration latency, TimePoint now);
    /// Time to the first event for each weighted prompt token.
    Duration timePerToken(const std::string &model, TimePoint now) const;
    /// Records the time between two successive events of an answer.
    void onGap(const std::string &model, Duration gap, TimePoint now);

private:
    /// Utility that a second run costs the requests that are queued at the engines.
    double queueingPenalty(const Route &route, const std::string &largest,
                           const EscalationInput &input, TimePoint now) const;
    /// Utility of a correct answer of the largest model, given the time at which it is expected; 0
    /// if it is not expected to end by the deadline.
    double timeliness(const Route &route, const std::string &largest, const EscalationInput &input,
                      TimePoint now) const;

    double secondsPerToken(const std::string &model, TimePoint now) const;
    double gapSeconds(const std::string &model, TimePoint now) const;

    ConfidenceCalibration m_calibration;
    /// By model: seconds to the first event for each weighted prompt token.
    std::map<std::string, DecayingRatio> m_secondsPerToken;
    /// By model: seconds between two events.
    std::map<std::string, DecayingRatio> m_gapSeconds;
};

} // namespace lycheearch
