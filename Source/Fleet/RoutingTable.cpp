#include "Fleet/RoutingTable.h"

#include <algorithm>

namespace lycheearch {

namespace {

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

/// Returns the host name without the port, in lower case since host names are case-insensitive.
std::string hostName(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

} // namespace

RoutingTable::RoutingTable(RoutingConfig config)
    : RoutingTable(std::make_shared<const RoutingConfig>(std::move(config)))
{
}

RoutingTable::RoutingTable(std::shared_ptr<const RoutingConfig> config)
    : m_config(std::move(config))
{
    for (const auto &route : m_config->routes.all()) {
        m_routesByHost[hostName(route->host)].push_back(route.get());
    }
    for (auto &[host, routes] : m_routesByHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route *left, const Route *right) {
            return left->pathPrefix.size() > right->pathPrefix.size();
        });
    }
    for (const AccountProfile &account : m_config->accounts) {
        for (const std::string &key : account.keys) {
            m_accountsByKey.emplace(key, &account);
        }
    }
}

const Route *RoutingTable::route(std::string_view host, std::string_view target) const
{
    const auto found = m_routesByHost.find(hostName(host));
    if (found == m_routesByHost.end()) {
        return nullptr;
    }
    const std::string_view path = pathOf(target);
    for (const Route *route : found->second) {
        if (path.starts_with(route->pathPrefix)) {
            return route;
        }
    }
    return nullptr;
}

const AccountProfile *RoutingTable::account(std::string_view key) const
{
    const auto found = m_accountsByKey.find(std::string(key));
    return found == m_accountsByKey.end() ? nullptr : found->second;
}

const ServiceProfile *RoutingTable::service(const ServiceId &name) const
{
    const auto found = m_config->services.find(name);
    return found == m_config->services.end() ? nullptr : &found->second;
}

const ServiceId *chooseService(const Route &route, std::uint64_t hash)
{
    double total = 0;
    for (const ServiceShare &share : route.services) {
        total += std::max(0.0, share.weight);
    }
    if (route.services.empty() || total <= 0) {
        return nullptr;
    }
    constexpr std::uint64_t steps = 1'000'000;
    double point = total * static_cast<double>(hash % steps) / steps;
    for (const ServiceShare &share : route.services) {
        if (share.weight <= 0) {
            continue;
        }
        if (point < share.weight) {
            return &share.service;
        }
        point -= share.weight;
    }
    return &route.services.back().service;
}

} // namespace lycheearch
