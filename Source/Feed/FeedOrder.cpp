#include "Feed/FeedOrder.h"

#include <algorithm>

#include "Base/Hash.h"

namespace lycheearch {

namespace {

/// Members whose last registration is older are ignored.
constexpr std::int64_t MemberLifetimeMs = 150'000;

} // namespace

std::uint64_t feedRank(const InstanceId &instance)
{
    return stableHash("feed/" + instance.value());
}

bool memberIsCurrent(const MemberRegistered &member, std::int64_t wallMilliseconds)
{
    return member.registeredAt > wallMilliseconds - MemberLifetimeMs;
}

std::vector<MemberRegistered> feedOrder(const std::map<InstanceId, MemberRegistered> &members,
                                        const DataCentreId &dataCentre,
                                        std::int64_t wallMilliseconds)
{
    std::vector<MemberRegistered> order;
    for (const auto &[id, member] : members) {
        if (member.dataCentre == dataCentre && memberIsCurrent(member, wallMilliseconds)) {
            order.push_back(member);
        }
    }
    std::sort(order.begin(), order.end(),
              [](const MemberRegistered &left, const MemberRegistered &right) {
                  return feedRank(left.instance) < feedRank(right.instance);
              });
    return order;
}

std::vector<MemberRegistered> feedCandidates(const std::map<InstanceId, MemberRegistered> &members,
                                             const InstanceId &self, const DataCentreId &dataCentre,
                                             std::int64_t wallMilliseconds)
{
    std::vector<MemberRegistered> order = feedOrder(members, dataCentre, wallMilliseconds);
    std::erase_if(order, [&](const MemberRegistered &member) {
        return member.instance == self || feedRank(member.instance) >= feedRank(self);
    });
    return order;
}

} // namespace lycheearch
