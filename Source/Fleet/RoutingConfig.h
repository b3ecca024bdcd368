#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Base/Ids.h"
#include "Base/Time.h"

namespace lycheearch {

/// Version of a routing configuration. Versions increase, possibly with gaps.
using ConfigVersion = Quantity<struct ConfigVersionTag>;

/// Whether a request is safe to repeat, and the format of its answer.
enum class RouteKind { Idempotent, NonIdempotent, EventStream };

/// A service of a route and its weight.
struct ServiceShare
{
    ServiceId service;
    double weight = 1; ///< Relative to the weights of the other services; 0 or less: no traffic.

    bool operator==(const ServiceShare &) const = default;
};

/// A route: which requests it matches and how they are served.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<ServiceShare> services;
    std::vector<std::string> models; ///< Models to choose from, smallest first; may be empty.
    Duration timeout{}; ///< Longest time until the answer is complete.
    Duration latencyObjective{}; ///< Target latency of an answer, or of its first event.
    Duration gapObjective{}; ///< Target for the longest gap between two events.
    int priority = 0; ///< 0 is the highest priority.
    int maxAttempts = 1; ///< Backend servers that one request may be sent to.
    bool isPublic = false; ///< Requests need no API key.
    bool hasPrompts = false; ///< Requests contain prompts, whose prefixes backend servers cache.
    bool resumable = false; ///< A broken event stream can resume at another backend server.

    /// Whether a request that may have been executed can be sent again.
    bool retryable() const
    {
        return kind == RouteKind::Idempotent || (kind == RouteKind::EventStream && resumable);
    }

    bool operator==(const Route &) const = default;
};

/// The routes of a configuration. Versions of the configuration share the routes that they have in
/// common.
class RouteList
{
public:
    using SharedRoute = std::shared_ptr<const Route>;

    RouteList() = default;
    RouteList(std::initializer_list<Route> routes);

    void reserve(std::size_t count) { m_routes.reserve(count); }
    void add(SharedRoute route) { m_routes.push_back(std::move(route)); }
    std::size_t size() const { return m_routes.size(); }
    const Route &at(std::size_t index) const { return *m_routes.at(index); }
    const std::vector<SharedRoute> &all() const { return m_routes; }

    /// Compares the routes, shared or not.
    bool operator==(const RouteList &other) const;

private:
    std::vector<SharedRoute> m_routes;
};

/// A model and its price for 1,000 generated tokens.
struct ModelPrice
{
    std::string model;
    double cost = 0;

    bool operator==(const ModelPrice &) const = default;
};

/// Properties of the engines of a service.
struct EngineProfile
{
    int slots = 0; ///< Requests that an engine runs at a time.
    std::int64_t cacheTokens = 0; ///< Capacity of the KV cache in tokens.
    int tokensPerEvent = 1;
    std::vector<ModelPrice> models;

    bool operator==(const EngineProfile &) const = default;
};

/// A group of backend servers that serve the same requests.
struct ServiceProfile
{
    ServiceId name;
    std::string healthPath;
    int maxConnections = 0; ///< Limit for each backend server, over all callers.
    Duration coldPeriod{};
    double coldRequestsPerSecond = 0; ///< Capacity of a cold backend server; 0: no limit.
    std::optional<EngineProfile> engine;

    bool operator==(const ServiceProfile &) const = default;
};

/// Limits on requests from callers.
struct CallerLimits
{
    std::uint32_t headBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4UL * 1024UL * 1024;
    Duration headTimeout = 3s;
    Duration idleTimeout = 15s;

    bool operator==(const CallerLimits &) const = default;
};

/// A client account with its keys.
struct AccountProfile
{
    AccountId name;
    std::vector<std::string> keys;
    /// Takes precedence over the priority of the route, which orders the requests of accounts with
    /// equal priority. 0 is the highest, and the default.
    std::optional<int> priority;

    bool operator==(const AccountProfile &) const = default;
};

/// A complete configuration as published by the operator.
struct RoutingConfig
{
    ConfigVersion version;
    RouteList routes;
    std::map<ServiceId, ServiceProfile> services;
    std::vector<AccountProfile> accounts;
    CallerLimits limits;

    bool operator==(const RoutingConfig &) const = default;
};

/// Index of the first route whose name an earlier route has, if there is one.
std::optional<std::size_t> findDoubledName(const RouteList &routes);

} // namespace lycheearch
