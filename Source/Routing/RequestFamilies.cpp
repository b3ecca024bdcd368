#include "Routing/RequestFamilies.h"

#include <algorithm>

namespace lycheearch {

namespace {

/// Servers after which a family is condemned although others explain its crashes as well.
constexpr std::size_t MinServersOfRivals = 5;
/// Distinct contents that must have come; one alone is judged as a whole request.
constexpr std::size_t MinContents = 2;
/// Servers must have ended at so many moments, at least MomentSpacing apart; or so many of them at
/// once, which are nearly all that ended.
constexpr std::size_t MinMoments = 2;
constexpr Duration MomentSpacing = 1s;
constexpr std::size_t MinServersAtOnce = 4;
constexpr double MinShareAtOnce = 0.9;
/// Daemons learn of the same crash at different times.
constexpr Duration ReportingTolerance = 200ms;

std::size_t countMoments(const std::vector<TimePoint> &ends)
{
    std::size_t moments = 0;
    TimePoint latest;
    for (const TimePoint end : ends) {
        if (moments == 0 || end - latest >= MomentSpacing) {
            ++moments;
            latest = end;
        }
    }
    return moments;
}

bool includesAll(const std::map<std::uint64_t, std::set<std::uint64_t>> &of,
                 const std::vector<std::uint64_t> &servers)
{
    return std::all_of(servers.begin(), servers.end(), [&](std::uint64_t server) {
        const auto found = of.find(server);
        return found != of.end() && found->second.size() == 1;
    });
}

/// Whether \p wider has the requests of \p family, and perhaps more.
bool includesContents(const RequestFamilies::Suspect &wider, const RequestFamilies::Suspect &family)
{
    return wider.key.account == family.key.account
        && std::all_of(family.serversOf.begin(), family.serversOf.end(),
                       [&](const auto &entry) { return wider.serversOf.contains(entry.first); });
}

} // namespace

std::vector<std::uint64_t> RequestFamilies::Suspect::servers() const
{
    std::vector<std::uint64_t> counted;
    for (const auto &[server, requests] : requestsOf) {
        if (requests.size() == 1) {
            counted.push_back(server);
        }
    }
    std::sort(counted.begin(), counted.end(), [&](std::uint64_t left, std::uint64_t right) {
        return endedAt.at(left) < endedAt.at(right);
    });
    return counted;
}

void RequestFamilies::addEnded(std::uint64_t server, TimePoint at)
{
    const auto [entry, inserted] = m_ended.try_emplace(server, at);
    entry->second = std::min(entry->second, at);
}

void RequestFamilies::addRequest(const RequestCrash &crash)
{
    m_serversOfRequests[{crash.account, crash.identity.content}].insert(crash.server);
}

void RequestFamilies::add(const RequestCrash &crash, std::size_t width, bool condemned,
                          TimePoint at)
{
    const SuspectKey key{crash.account, crash.identity.families[width]};
    Suspect &suspect = m_suspects[key];
    suspect.key = key;
    suspect.width = width;
    suspect.condemned = condemned;
    suspect.requestsOf[crash.server].insert(crash.request);
    suspect.serversOf[crash.identity.content].insert(crash.server);
    const auto [end, inserted] = suspect.endedAt.try_emplace(crash.server, at);
    end->second = std::min(end->second, at);
}

std::map<std::uint64_t, std::size_t> RequestFamilies::serversOfCondemned() const
{
    std::map<std::uint64_t, std::size_t> servers;
    for (const auto &[key, suspect] : m_suspects) {
        if (!suspect.condemned) {
            continue;
        }
        for (const auto &[server, requests] : suspect.requestsOf) {
            std::size_t &count = servers[server];
            count = std::max(count, suspect.requestsOf.size());
        }
    }
    return servers;
}

std::vector<RequestFamilies::Suspect> RequestFamilies::convicted() const
{
    std::vector<Suspect> causes;
    std::vector<Suspect> candidates;
    for (const auto &[key, suspect] : m_suspects) {
        (suspect.condemned ? causes : candidates).push_back(suspect);
    }
    std::stable_sort(
        candidates.begin(), candidates.end(),
        [](const Suspect &left, const Suspect &right) { return left.width < right.width; });
    std::vector<Suspect> found;
    for (const Suspect &suspect : candidates) {
        if (isConvicted(suspect, causes)) {
            found.push_back(suspect);
            causes.push_back(suspect);
        }
    }
    return found;
}

bool RequestFamilies::isConvicted(const Suspect &suspect, const std::vector<Suspect> &causes) const
{
    const Servers servers = unexplained(suspect, causes);
    const bool oneRequest =
        std::any_of(suspect.serversOf.begin(), suspect.serversOf.end(),
                    [](const auto &entry) { return entry.second.size() >= MinServers; });
    if (servers.size() < MinServers || suspect.serversOf.size() < MinContents || oneRequest
        || !standsOut(suspect, servers)) {
        return false;
    }
    return servers.size() >= MinServersOfRivals || !hasRival(suspect, servers);
}

bool RequestFamilies::standsOut(const Suspect &suspect, const Servers &servers) const
{
    std::vector<TimePoint> ends;
    for (const std::uint64_t server : servers) {
        ends.push_back(suspect.endedAt.at(server));
    }
    if (countMoments(ends) >= MinMoments) {
        return true;
    }
    const TimePoint from = ends.front() - ReportingTolerance;
    const TimePoint to = ends.back() + ReportingTolerance;
    const auto all = std::count_if(m_ended.begin(), m_ended.end(), [&](const auto &entry) {
        return entry.second >= from && entry.second <= to;
    });
    return servers.size() >= MinServersAtOnce
        && static_cast<double>(servers.size()) >= MinShareAtOnce * static_cast<double>(all);
}

RequestFamilies::Servers RequestFamilies::unexplained(const Suspect &suspect,
                                                      const std::vector<Suspect> &causes)
{
    Servers servers = suspect.servers();
    const std::size_t count = servers.size();
    for (const Suspect &cause : causes) {
        if (cause.requestsOf.size() >= count) {
            std::erase_if(servers,
                          [&](std::uint64_t server) { return cause.requestsOf.contains(server); });
        }
    }
    return servers;
}

bool RequestFamilies::hasRival(const Suspect &suspect, const Servers &servers) const
{
    const auto lostOnAll = [&](const auto &entry) {
        const SuspectKey &key = entry.first;
        const bool own = key.account == suspect.key.account && suspect.serversOf.contains(key.hash);
        return !own && std::all_of(servers.begin(), servers.end(), [&](std::uint64_t server) {
            return entry.second.contains(server);
        });
    };
    const auto unrelatedOnAll = [&](const auto &entry) {
        const Suspect &other = entry.second;
        return !includesContents(other, suspect) && includesAll(other.requestsOf, servers);
    };
    return std::any_of(m_serversOfRequests.begin(), m_serversOfRequests.end(), lostOnAll)
        || std::any_of(m_suspects.begin(), m_suspects.end(), unrelatedOnAll);
}

} // namespace lycheearch
