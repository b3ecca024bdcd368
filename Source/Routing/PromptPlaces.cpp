#include "Routing/PromptPlaces.h"

#include <algorithm>

namespace lycheearch {

namespace {

/// An entry expires this long after its last use; engines keep a prefix cached at least as long.
constexpr Duration CacheMemory = 15s;
/// Interval at which an entry in use is published again, well before it expires at other daemons.
constexpr Duration TellAgainPeriod = 5s;
/// Above this number, the index is cleared.
constexpr std::size_t MostRememberedParts = 8192;
/// Bounds the entries to publish while this daemon has no connection to others.
constexpr std::size_t MostNews = 4096;

} // namespace

PromptPlaces::Holder &PromptPlaces::holder(const PromptPlace &place, TimePoint now)
{
    if (m_holders.size() >= MostRememberedParts && !m_holders.contains(place.affinity)) {
        m_holders.clear();
    }
    std::vector<Holder> &holders = m_holders[place.affinity];
    std::erase_if(holders, [&](const Holder &known) { return now - known.usedAt >= CacheMemory; });
    const auto found = std::find_if(holders.begin(), holders.end(), [&](const Holder &known) {
        return known.backend == place.backend;
    });
    if (found != holders.end()) {
        return *found;
    }
    holders.push_back({place.backend, now, TimePoint()});
    return holders.back();
}

void PromptPlaces::noteSent(const PromptPlace &place, std::int64_t tokens, TimePoint now)
{
    Holder &known = holder(place, now);
    known.usedAt = now;
    const bool due = known.toldAt == TimePoint() || now - known.toldAt >= TellAgainPeriod;
    if (due && tokens >= LeastTokensToTell && m_news.size() < MostNews) {
        known.toldAt = now;
        m_news.push_back(place);
    }
}

void PromptPlaces::noteTold(const std::vector<PromptPlace> &places, TimePoint now)
{
    for (const PromptPlace &place : places) {
        Holder &known = holder(place, now);
        known.usedAt = now;
        known.toldAt = now;
    }
}

std::vector<InstanceId> PromptPlaces::holders(std::uint64_t affinity, TimePoint now) const
{
    std::vector<InstanceId> result;
    const auto found = m_holders.find(affinity);
    if (found == m_holders.end()) {
        return result;
    }
    for (const Holder &known : found->second) {
        if (now - known.usedAt < CacheMemory) {
            result.push_back(known.backend);
        }
    }
    return result;
}

std::vector<PromptPlace> PromptPlaces::takeNews()
{
    return std::exchange(m_news, {});
}

void PromptPlaces::forget(const InstanceId &backend)
{
    for (auto &[affinity, holders] : m_holders) {
        std::erase_if(holders, [&](const Holder &known) { return known.backend == backend; });
    }
}

} // namespace lycheearch
