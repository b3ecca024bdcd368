#include "Routing/RequestSuspects.h"

#include <algorithm>

namespace lycheearch {

namespace {

/// Distinct servers that must have ended under a request.
constexpr std::size_t MinServers = 3;
/// The same since the last success, for a request that was served within the memory of the daemons.
constexpr std::size_t MinServersOfServed = 6;
/// Servers after which a request is condemned although others explain its crashes as well.
constexpr std::size_t MinServersOfRivals = 5;
/// Distinct ids under which the request must have come.
constexpr std::size_t MinArrivals = 2;

} // namespace

void RequestSuspects::add(const RequestCrash &crash, bool served, bool condemned)
{
    const SuspectKey key{crash.account, crash.identity.content};
    Suspect &suspect = m_suspects[key];
    suspect.key = key;
    suspect.served = served;
    suspect.condemned = condemned;
    if (suspect.servers.insert(crash.server).second) {
        m_suspectsOf[crash.server].push_back(key);
    }
    if (!crash.parts.empty()) {
        suspect.begun.insert(crash.server);
    }
    suspect.arrivals.insert(crash.request);
}

std::vector<RequestSuspects::Suspect> RequestSuspects::convicted() const
{
    std::vector<Suspect> found;
    for (const auto &[key, suspect] : m_suspects) {
        if (!suspect.condemned && isConvicted(suspect)) {
            found.push_back(suspect);
        }
    }
    return found;
}

bool RequestSuspects::explainsBetter(const Suspect &other, const Suspect &suspect)
{
    const auto rank = [](const Suspect &of) {
        return std::pair(of.servers.size(), of.begun.size());
    };
    return other.condemned ? rank(other) > rank(suspect) : rank(other) >= rank(suspect);
}

bool RequestSuspects::isConvicted(const Suspect &suspect) const
{
    const std::size_t needed = suspect.served ? MinServersOfServed : MinServers;
    if (suspect.servers.size() < needed || suspect.arrivals.size() < MinArrivals) {
        return false;
    }
    std::size_t unexplained = 0;
    bool hasRival = false;
    for (const std::uint64_t server : suspect.servers) {
        bool explained = false;
        for (const SuspectKey &key : m_suspectsOf.at(server)) {
            const Suspect &other = m_suspects.at(key);
            if (key == suspect.key || !explainsBetter(other, suspect)) {
                continue;
            }
            explained = explained || other.condemned;
            hasRival = hasRival || !other.condemned;
        }
        unexplained += explained ? 0 : 1;
    }
    return unexplained >= needed && (!hasRival || unexplained >= MinServersOfRivals);
}

} // namespace lycheearch
