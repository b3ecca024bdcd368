#pragma once

#include <map>
#include <optional>
#include <string>

#include "Base/Time.h"
#include "Fleet/RoutingConfig.h"

namespace lycheearch {

/// What the choice between an answer at hand and the largest model depends on.
struct CascadeQuestion
{
    int confidence = 0; ///< The small model's opinion of its answer, 0 to 100.
    double workTokens = 0; ///< Weighed prompt tokens until the largest model's first event.
    double expectedEvents = 0; ///< Of the answer; 0 if not known.
    Duration elapsed{}; ///< Since the request came.
    Duration timeLeft{};
};

/// Chooses the model of each request: the smallest first, whose answer is dropped for the largest
/// model's while the caller has seen nothing of it, if it is likely wrong and the larger model can
/// still be in time. Answers to: calm load (cheap answers where they suffice) and overload, where
/// the work that waits at the engines lets only the most doubtful answers go to the largest model.
class ModelCascade
{
public:
    /// The model to begin with; empty if the route names none.
    std::string first(const Route &route) const;
    /// The model to ask if an answer of \p model is not good enough, or nothing.
    std::optional<std::string> next(const Route &route, const std::string &model) const;
    /// Whether to drop the answer at hand for the largest model's.
    bool escalate(const Route &route, const std::string &largest,
                  const CascadeQuestion &question) const;
    /// The first event of an answer came after this long, with this much work before it.
    void onFirstEvent(double workTokens, Duration latency);
    /// Two events of an answer came this far apart.
    void onGap(const std::string &model, Duration gap);

private:
    /// What an answer of the largest model is worth by its time, as a part of one that is in time.
    double timeliness(const Route &route, const std::string &largest,
                      const CascadeQuestion &question) const;

    double m_secondsPerToken = 0; ///< Of work until the first event.
    std::map<std::string, double> m_gapSeconds;
};

} // namespace lycheearch
