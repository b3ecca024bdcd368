#include "Feed/FeedSourceSelector.h"

#include <algorithm>
#include <set>

#include "Feed/FeedOrder.h"

namespace lycheearch {

namespace {

/// A failed source is not retried for this long.
constexpr Duration RetryBackoff = 3s;
/// The same while this daemon has neither a source nor the store.
constexpr Duration LostStoreBackoff = 600ms;
/// Upper limit of a stale source's backoff, which doubles from RetryBackoff on.
constexpr Duration MaxStaleBackoff = 12s;
/// Delay between two sources that are tried; doubles with each that is stale, since each sends its
/// whole state and in an outage of the store as a whole all are stale.
constexpr Duration MinSearchDelay = 600ms;
constexpr Duration MaxSearchDelay = 4800ms;
/// Daemons of the own data centre that are tried before one of each other data centre.
constexpr std::size_t OwnDataCentreFirst = 2;

} // namespace

FeedSourceSelector::FeedSourceSelector(InstanceId self, DataCentreId dataCentre)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_searchDelay(MinSearchDelay)
{
}

std::optional<FeedSourceChoice>
FeedSourceSelector::choose(const std::map<InstanceId, MemberRegistered> &members,
                           const InstanceId &source, bool viewStale, std::int64_t wallMilliseconds,
                           TimePoint now)
{
    const std::vector<MemberRegistered> candidates =
        feedCandidates(members, m_self, m_dataCentre, wallMilliseconds);
    if (!viewStale) {
        return choosePreferred(candidates, source, now);
    }
    if (!source.empty()) {
        return std::nullopt;
    }
    return search(members, candidates, wallMilliseconds, now);
}

std::optional<FeedSourceChoice>
FeedSourceSelector::choosePreferred(const std::vector<MemberRegistered> &candidates,
                                    const InstanceId &source, TimePoint now) const
{
    const auto first =
        std::find_if(candidates.begin(), candidates.end(), [&](const MemberRegistered &member) {
            return !inBackoff(member.instance, now);
        });
    if (first == candidates.end() || first->instance == source) {
        return std::nullopt;
    }
    return FeedSourceChoice{*first, false};
}

std::optional<FeedSourceChoice>
FeedSourceSelector::search(const std::map<InstanceId, MemberRegistered> &members,
                           const std::vector<MemberRegistered> &candidates,
                           std::int64_t wallMilliseconds, TimePoint now)
{
    if (now < m_nextSearchAt) {
        return std::nullopt;
    }
    const std::vector<FeedSourceChoice> order = searchOrder(members, candidates, wallMilliseconds);
    // Sources without a backoff have the earliest end; among equals the first is taken.
    const auto next =
        std::min_element(order.begin(), order.end(), [&](const auto &left, const auto &right) {
            return std::max(now, backoffEnd(left.member.instance))
                < std::max(now, backoffEnd(right.member.instance));
        });
    if (next == order.end()
        || backoffEnd(next->member.instance) - now > RetryBackoff - LostStoreBackoff) {
        return std::nullopt;
    }
    m_nextSearchAt = now + m_searchDelay;
    return *next;
}

std::vector<FeedSourceChoice>
FeedSourceSelector::searchOrder(const std::map<InstanceId, MemberRegistered> &members,
                                const std::vector<MemberRegistered> &candidates,
                                std::int64_t wallMilliseconds) const
{
    std::vector<FeedSourceChoice> order;
    for (const MemberRegistered &member : candidates) {
        order.push_back({member, false});
    }
    for (const MemberRegistered &member : feedOrder(members, m_dataCentre, wallMilliseconds)) {
        if (feedRank(member.instance) > feedRank(m_self)) {
            order.push_back({member, true});
        }
    }
    const std::vector<FeedSourceChoice> remote = firstOfOthers(members, wallMilliseconds);
    const std::size_t at = std::min(order.size(), OwnDataCentreFirst);
    order.insert(order.begin() + static_cast<std::ptrdiff_t>(at), remote.begin(), remote.end());
    return order;
}

std::vector<FeedSourceChoice>
FeedSourceSelector::firstOfOthers(const std::map<InstanceId, MemberRegistered> &members,
                                  std::int64_t wallMilliseconds) const
{
    std::set<DataCentreId> dataCentres;
    for (const auto &[id, member] : members) {
        dataCentres.insert(member.dataCentre);
    }
    dataCentres.erase(m_dataCentre);
    std::vector<FeedSourceChoice> choices;
    for (const DataCentreId &dataCentre : dataCentres) {
        const auto order = feedOrder(members, dataCentre, wallMilliseconds);
        if (!order.empty()) {
            choices.push_back({order.front(), true});
        }
    }
    return choices;
}

void FeedSourceSelector::onFailed(const InstanceId &source, TimePoint now)
{
    m_backoffs[source].until = now + RetryBackoff;
}

void FeedSourceSelector::onStale(const InstanceId &source, TimePoint now)
{
    Backoff &backoff = m_backoffs[source];
    backoff.staleDelay = backoff.staleDelay == Duration::zero()
        ? RetryBackoff
        : std::min(backoff.staleDelay * 2, MaxStaleBackoff);
    backoff.until = now + backoff.staleDelay;
    m_searchDelay = std::min(m_searchDelay * 2, MaxSearchDelay);
}

void FeedSourceSelector::onFresh(const InstanceId &source)
{
    m_backoffs.erase(source);
    m_searchDelay = MinSearchDelay;
}

void FeedSourceSelector::onStoreRegained()
{
    std::erase_if(m_backoffs,
                  [](const auto &entry) { return entry.second.staleDelay > Duration::zero(); });
    m_searchDelay = MinSearchDelay;
    m_nextSearchAt = TimePoint();
}

bool FeedSourceSelector::inBackoff(const InstanceId &source, TimePoint now) const
{
    return backoffEnd(source) > now;
}

TimePoint FeedSourceSelector::backoffEnd(const InstanceId &source) const
{
    const auto found = m_backoffs.find(source);
    return found == m_backoffs.end() ? TimePoint() : found->second.until;
}

} // namespace lycheearch
