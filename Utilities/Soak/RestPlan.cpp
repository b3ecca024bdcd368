#include "RestPlan.h"

#include <array>

#include <nlohmann/json.hpp>

namespace lycheearch::soak {

namespace {

constexpr std::array<Duration, 3> IdleTimeouts = {1500ms, 2000ms, 3000ms};
constexpr std::array<int, 4> FurtherRoutes = {0, 0, 1500, 3000};

struct Shares
{
    double from = 0;
    double until = 0;
};

/// Within the four fifths that callers may use, around them, beyond, and at the idle timeout.
constexpr std::array<Shares, 4> RestShares = {
    {{0.2, 0.7}, {0.75, 0.82}, {0.75, 0.95}, {0.95, 1.01}}};

} // namespace

RestPlan::RestPlan(std::mt19937_64 &random)
    : m_random(random)
{
}

void RestPlan::vary(nlohmann::json &config)
{
    m_idleTimeout = IdleTimeouts.at(m_random() % IdleTimeouts.size());
    config["Limits"] = {{"IdleTimeoutMs", toMilliseconds(m_idleTimeout)}};
    nlohmann::json &routes = config["Routes"];
    const int furtherRoutes = FurtherRoutes.at(m_random() % FurtherRoutes.size());
    for (int i = 0; i < furtherRoutes; ++i) {
        nlohmann::json route = routes[0];
        const std::string path = "/further/" + std::to_string(i) + "/";
        route["Name"] = path;
        route["PathPrefix"] = path;
        routes.push_back(std::move(route));
    }
}

double RestPlan::drawRestShare()
{
    const Shares shares = RestShares.at(m_random() % RestShares.size());
    return std::uniform_real_distribution<double>(shares.from, shares.until)(m_random);
}

} // namespace lycheearch::soak
