#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/Ids.h"
#include "Base/Time.h"

namespace lycheearch {

/// Version of a routing configuration. Versions grow, with gaps.
using ConfigVersion = Quantity<struct ConfigVersionTag>;

/// What may be repeated of a request, and the form of its answer.
enum class RouteKind { Idempotent, NonIdempotent, EventStream };

/// A service that a route leads to, with its share of the traffic.
struct ServiceShare
{
    ServiceId service;
    double weight = 1;
};

/// One route: which requests it takes and how they are served.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<ServiceShare> services;
    std::vector<std::string> models; ///< Models to choose from, smallest first; may be empty.
    Duration timeout{}; ///< Longest time until the final answer.
    Duration latencyObjective{};
    Duration gapObjective{}; ///< Longest pause between events that is on time.
    int priority = 0; ///< 0 is the most important.
    int maxAttempts = 1; ///< Backend servers that one request may be sent to.
    bool isPublic = false; ///< Needs no key.
    bool hasPrompts = false; ///< Requests carry prompts, whose parts backend servers cache.
    bool resumable = false; ///< A broken event stream may go on at another backend server.

    /// Whether a request that may have run can be sent again.
    bool repeatable() const
    {
        return kind == RouteKind::Idempotent || (kind == RouteKind::EventStream && resumable);
    }
};

/// A model of an engine and its price for 1,000 generated tokens.
struct ModelPrice
{
    std::string model;
    double cost = 0;
};

/// What is known of the engines of a service.
struct EngineProfile
{
    int slots = 0;
    std::int64_t cacheTokens = 0; ///< Tokens that fit into the KV cache.
    int tokensPerEvent = 1;
    std::vector<ModelPrice> models;
};

/// A group of backend servers that serve the same requests.
struct ServiceProfile
{
    ServiceId name;
    std::string healthPath;
    int maxConnections = 0; ///< For each backend server, from all callers together.
    Duration coldPeriod{};
    double coldPerSecond = 0; ///< Requests a second that a cold backend server bears; 0: no limit.
    std::optional<EngineProfile> engine;
};

/// Bounds of what a caller may send.
struct CallerLimits
{
    std::uint32_t headBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4UL * 1024UL * 1024;
    Duration headTimeout = 3s;
    Duration idleTimeout = 15s;
};

/// A client account with its keys.
struct AccountProfile
{
    AccountId name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< Goes before the priority of the route.
};

/// A whole configuration as the operator published it.
struct RoutingConfig
{
    ConfigVersion version;
    std::vector<Route> routes;
    std::map<ServiceId, ServiceProfile> services;
    std::vector<AccountProfile> accounts;
    CallerLimits limits;
};

} // namespace lycheearch
