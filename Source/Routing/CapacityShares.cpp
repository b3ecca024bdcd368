#include "Routing/CapacityShares.h"

#include <algorithm>
#include <cmath>

namespace lycheearch {

namespace {

using Seconds = std::chrono::duration<double>;

/// Time constant with which use decays: long against the age of the loads, short against a burst.
constexpr Duration UseTimeConstant = 2s;
/// The use of the other daemons expires after this time.
constexpr Duration OthersLifetime = 1500ms;
/// Use below this amount is dropped.
constexpr double SmallestUse = 0.01;
/// Accounts whose use a daemon counts; further ones are always within their share.
constexpr std::size_t MaxUses = 4096;
/// An account keeps at least this part of what all accounts together keep.
constexpr double LeastRelativePart = 0.35;

/// The level L at which the sum of min(demand, L * weight, cap) over all accounts is \p room.
template <typename Limit>
double fairLevel(const std::map<std::uint64_t, AccountUse> &uses, double room, const Limit &limit)
{
    double low = 0;
    double high = room;
    for (const auto &[account, use] : uses) {
        high = std::max(high, use.demand() / std::max(limit.weight(account), SmallestUse));
    }
    constexpr int bisections = 40;
    for (int i = 0; i < bisections; ++i) {
        const double level = (low + high) / 2;
        double sum = 0;
        for (const auto &[account, use] : uses) {
            sum += std::min(use.demand(), limit.share(account, level));
        }
        (sum > room ? high : low) = level;
    }
    return low;
}

} // namespace

AccountUse CapacityShares::DecayingUse::value(TimePoint now) const
{
    const double factor = std::exp(-Seconds(now - at).count() / Seconds(UseTimeConstant).count());
    return {use.admitted * factor, use.refused * factor};
}

const AccountTerms &CapacityShares::termsOf(std::uint64_t account) const
{
    static const AccountTerms usual;
    const auto found = m_terms.find(account);
    return found == m_terms.end() ? usual : found->second;
}

AccountUse &CapacityShares::entry(const UseKey &key, TimePoint now)
{
    DecayingUse &own = m_own[key];
    own = {own.value(now), now};
    return own.use;
}

void CapacityShares::onAdmitted(const UseKey &key, double work, TimePoint now)
{
    if (m_own.size() < MaxUses || m_own.contains(key)) {
        entry(key, now).admitted += work;
    }
}

void CapacityShares::onRefused(const UseKey &key, double work, TimePoint now)
{
    if (m_own.size() < MaxUses || m_own.contains(key)) {
        entry(key, now).refused += work;
    }
}

std::map<std::uint64_t, AccountUse> CapacityShares::total(const ServiceId &service,
                                                          TimePoint now) const
{
    std::map<std::uint64_t, AccountUse> uses;
    const UseKey first{service, 0};
    for (auto own = m_own.lower_bound(first); own != m_own.end() && own->first.first == service;
         ++own) {
        uses[own->first.second] = own->second.value(now);
    }
    if (!age(now)) {
        return uses;
    }
    for (auto other = m_others.lower_bound(first);
         other != m_others.end() && other->first.first == service; ++other) {
        AccountUse &use = uses[other->first.second];
        use.admitted += other->second.admitted;
        use.refused += other->second.refused;
    }
    return uses;
}

double CapacityShares::keptPart(const UseKey &key, double room, TimePoint now) const
{
    if (!age(now)) {
        return 1;
    }
    const std::map<std::uint64_t, AccountUse> uses = total(key.first, now);
    const auto own = uses.find(key.second);
    AccountUse all;
    for (const auto &[account, use] : uses) {
        all.admitted += use.admitted;
        all.refused += use.refused;
    }
    if (own == uses.end() || own->second.demand() < SmallestUse || all.admitted < SmallestUse) {
        return 1;
    }
    const double places = all.admitted * room;
    struct Limit
    {
        const CapacityShares &shares;
        double places;

        double weight(std::uint64_t account) const { return shares.weight(account); }
        double share(std::uint64_t account, double level) const
        {
            const AccountTerms &terms = shares.termsOf(account);
            return std::min(level * terms.weight, terms.cap * places);
        }
    };
    const Limit limit{*this, places};
    const double level = fairLevel(uses, places, limit);
    const double part = limit.share(key.second, level) / own->second.demand();
    const double least = LeastRelativePart * std::min(1.0, places / all.demand());
    return std::clamp(part, least, 1.0);
}

double CapacityShares::served(const UseKey &key, TimePoint now) const
{
    const auto own = m_own.find(key);
    double admitted = own == m_own.end() ? 0 : own->second.value(now).admitted;
    if (age(now)) {
        const auto others = m_others.find(key);
        admitted += others == m_others.end() ? 0 : others->second.admitted;
    }
    return admitted / weight(key.second);
}

double CapacityShares::ownRate(const ServiceId &service, TimePoint now) const
{
    double admitted = 0;
    for (auto own = m_own.lower_bound({service, 0});
         own != m_own.end() && own->first.first == service; ++own) {
        admitted += own->second.value(now).admitted;
    }
    return admitted / Seconds(UseTimeConstant).count();
}

ServiceUses CapacityShares::ownUses(TimePoint now)
{
    std::erase_if(
        m_own, [now](const auto &entry) { return entry.second.value(now).demand() < SmallestUse; });
    ServiceUses uses;
    for (const auto &[key, own] : m_own) {
        uses[key] = own.value(now);
    }
    return uses;
}

void CapacityShares::setOtherDaemonsUses(ServiceUses uses, TimePoint now)
{
    m_others = std::move(uses);
    m_othersAt = now;
}

std::optional<Duration> CapacityShares::age(TimePoint now) const
{
    if (m_othersAt == TimePoint() || now - m_othersAt > OthersLifetime) {
        return std::nullopt;
    }
    return now - m_othersAt;
}

} // namespace lycheearch
