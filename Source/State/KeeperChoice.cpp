#include "State/KeeperChoice.h"

#include <algorithm>
#include <set>

#include "Base/Hash.h"

namespace lycheearch {

std::vector<InstanceId> chooseKeepers(const Roster &roster, const std::string &key,
                                      std::size_t count, TimePoint now)
{
    std::vector<InstanceId> candidates;
    std::map<InstanceId, DataCentreId> places;
    for (const RosterMember &member : roster.peers()) {
        if (!member.leaving && roster.isAlive(member.id, now)) {
            candidates.push_back(member.id);
            places[member.id] = member.dataCentre;
        }
    }
    const std::vector<InstanceId> ranked = rendezvous(key, candidates, candidates.size());
    std::vector<InstanceId> chosen;
    std::set<DataCentreId> used;
    for (const InstanceId &id : ranked) {
        if (chosen.size() < count && used.insert(places[id]).second) {
            chosen.push_back(id);
        }
    }
    for (const InstanceId &id : ranked) {
        if (chosen.size() < count && std::find(chosen.begin(), chosen.end(), id) == chosen.end()) {
            chosen.push_back(id);
        }
    }
    return chosen;
}

} // namespace lycheearch
