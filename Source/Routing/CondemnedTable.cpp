#include "Routing/CondemnedTable.h"

#include <algorithm>
#include <utility>

namespace lycheearch {

namespace {

constexpr std::size_t MaxEntries = 256;
/// Accounts with the same condemned part after which it is refused to all accounts.
constexpr std::size_t AccountsForAll = 2;

} // namespace

bool CondemnedTable::add(const CondemnedSuspect &suspect, TimePoint now)
{
    if (suspect.age > Lifetime) {
        return false;
    }
    const TimePoint at = now - suspect.age;
    auto &accounts = m_accountsOf[suspect.key.hash];
    const auto [entry, inserted] = accounts.try_emplace(suspect.key.account, at);
    if (!inserted) {
        entry->second = std::min(entry->second, at);
    } else if (all(now).size() > MaxEntries) {
        dropOldest();
    }
    return inserted;
}

void CondemnedTable::dropOldest()
{
    std::map<std::uint64_t, std::vector<std::pair<TimePoint, std::uint64_t>>> partsOf;
    for (const auto &[part, accounts] : m_accountsOf) {
        for (const auto &[account, at] : accounts) {
            partsOf[account].emplace_back(at, part);
        }
    }
    const auto most =
        std::max_element(partsOf.begin(), partsOf.end(), [](const auto &left, const auto &right) {
            return left.second.size() < right.second.size();
        });
    const std::uint64_t oldest = std::min_element(most->second.begin(), most->second.end())->second;
    m_accountsOf[oldest].erase(most->first);
    if (m_accountsOf[oldest].empty()) {
        m_accountsOf.erase(oldest);
    }
}

void CondemnedTable::forgetOld(TimePoint now)
{
    for (auto &[part, accounts] : m_accountsOf) {
        std::erase_if(accounts, [&](const auto &entry) { return now - entry.second > Lifetime; });
    }
    std::erase_if(m_accountsOf, [](const auto &entry) { return entry.second.empty(); });
}

bool CondemnedTable::refusesPart(std::uint64_t account, std::uint64_t part) const
{
    const auto found = m_accountsOf.find(part);
    return found != m_accountsOf.end()
        && (found->second.size() >= AccountsForAll || found->second.contains(account));
}

bool CondemnedTable::refusesRequest(std::uint64_t account, std::uint64_t hash) const
{
    const auto found = m_accountsOf.find(hash);
    return found != m_accountsOf.end() && found->second.contains(account);
}

bool CondemnedTable::refusesRequest(std::uint64_t account, const RequestIdentity &identity) const
{
    return refusesRequest(account, identity.content)
        || std::any_of(identity.families.begin(), identity.families.end(),
                       [&](std::uint64_t family) { return refusesRequest(account, family); });
}

std::vector<CondemnedSuspect> CondemnedTable::all(TimePoint now) const
{
    std::vector<CondemnedSuspect> suspects;
    for (const auto &[part, accounts] : m_accountsOf) {
        for (const auto &[account, at] : accounts) {
            suspects.push_back({{account, part}, now - at});
        }
    }
    return suspects;
}

} // namespace lycheearch
