#pragma once

#include <map>
#include <optional>
#include <string>

#include "Base/Time.h"
#include "Fleet/RoutingConfig.h"

namespace lycheearch {

/// What the choice between an answer at hand and a larger model depends on.
struct CascadeQuestion
{
    std::string model; ///< That made the answer at hand.
    std::optional<int> confidence; ///< Its opinion of the answer, 0 to 100.
    std::int64_t outputTokens = 0; ///< That the answer may have.
    Duration elapsed{}; ///< Since the request came.
    Duration timeLeft{};
};

/// Chooses the model of each request: the smallest first, whose answer is dropped for the largest
/// model's while the caller has seen nothing of it, if it is likely wrong and the larger model can
/// still be in time. Keeps the speed of each model as this daemon sees it.
class ModelCascade
{
public:
    /// The model to begin with; empty if the route names none.
    std::string first(const Route &route) const;
    /// The model to ask instead of taking the answer at hand, or nothing to take it.
    std::optional<std::string> escalate(const Route &route, const CascadeQuestion &question) const;
    /// The first event of an answer came after this long.
    void onFirstEvent(const std::string &model, Duration latency);
    /// Two events of an answer came this far apart.
    void onGap(const std::string &model, Duration gap);

private:
    struct Speed
    {
        double firstEventUs = 0;
        double gapUs = 0;
    };

    /// What a run of \p model is worth by its time, as a part of an answer that is in time.
    double timeliness(const Route &route, const std::string &model,
                      const CascadeQuestion &question) const;

    std::map<std::string, Speed> m_speeds;
};

} // namespace lycheearch
