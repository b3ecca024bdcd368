#include "Fleet/RoutingConfig.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>

namespace lycheearch {

RouteList::RouteList(std::initializer_list<Route> routes)
{
    for (const Route &route : routes) {
        add(std::make_shared<const Route>(route));
    }
}

bool RouteList::operator==(const RouteList &other) const
{
    return std::equal(m_routes.begin(), m_routes.end(), other.m_routes.begin(),
                      other.m_routes.end(), [](const SharedRoute &left, const SharedRoute &right) {
                          return left == right || *left == *right;
                      });
}

std::optional<std::size_t> findDoubledName(const RouteList &routes)
{
    std::unordered_set<std::string_view> names;
    names.reserve(routes.size());
    for (std::size_t i = 0; i < routes.size(); ++i) {
        if (!names.insert(routes.at(i).name).second) {
            return i;
        }
    }
    return std::nullopt;
}

} // namespace lycheearch
