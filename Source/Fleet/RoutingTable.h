#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Fleet/RoutingConfig.h"

namespace lycheearch {

/// Looks up routes, accounts and services in one version of the configuration.
class RoutingTable
{
public:
    explicit RoutingTable(std::shared_ptr<const RoutingConfig> config);
    explicit RoutingTable(RoutingConfig config);

    /// The route of \p host with the longest path prefix that matches \p target, or null.
    const Route *route(std::string_view host, std::string_view target) const;
    /// The account of an API key, or null.
    const AccountProfile *account(std::string_view key) const;
    const ServiceProfile *service(const ServiceId &name) const;
    bool requiresApiKeys() const { return !m_config->accounts.empty(); }
    ConfigVersion version() const { return m_config->version; }
    const CallerLimits &limits() const { return m_config->limits; }
    const RoutingConfig &config() const { return *m_config; }

private:
    std::shared_ptr<const RoutingConfig> m_config;
    /// Longest path prefix first.
    std::unordered_map<std::string, std::vector<const Route *>> m_routesByHost;
    std::unordered_map<std::string, const AccountProfile *> m_accountsByKey;
};

/// Chooses a service of a route by weight. The choice depends only on \p hash. Returns null if no
/// service has a positive weight.
const ServiceId *chooseService(const Route &route, std::uint64_t hash);

} // namespace lycheearch
