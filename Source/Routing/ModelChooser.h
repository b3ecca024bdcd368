#pragma once

#include <string>

#include "Fleet/RoutingConfig.h"

namespace lycheearch {

/// What the choice of a model depends on.
struct ModelQuestion
{
    double load = 0; ///< Requests for each slot of the service, over all its backend servers.
    std::int64_t promptTokens = 0;
};

/// Chooses the model of a request among those that its route allows.
class ModelChooser
{
public:
    virtual ~ModelChooser() = default;
    /// Returns an empty text if the route names no models.
    virtual std::string choose(const Route &route, const ModelQuestion &question) const = 0;
};

/// Always the largest model: the one whose answers are right most often.
class LargestModelChooser : public ModelChooser
{
public:
    std::string choose(const Route &route, const ModelQuestion &) const override
    {
        return route.models.empty() ? std::string() : route.models.back();
    }
};

} // namespace lycheearch
