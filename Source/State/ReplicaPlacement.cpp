#include "State/ReplicaPlacement.h"

#include <algorithm>
#include <set>

#include "Base/Hash.h"

namespace lycheearch {

std::vector<InstanceId> chooseReplicaHolders(const Membership &membership, const std::string &key,
                                             std::size_t count, TimePoint now)
{
    std::vector<InstanceId> candidates;
    std::map<InstanceId, DataCentreId> dataCentres;
    for (const PeerInfo &member : membership.peers()) {
        if (!member.leaving && membership.isAlive(member.id, now)) {
            candidates.push_back(member.id);
            dataCentres[member.id] = member.dataCentre;
        }
    }
    const std::vector<InstanceId> ranked = rendezvous(key, candidates, candidates.size());
    std::vector<InstanceId> chosen;
    std::set<DataCentreId> usedDataCentres;
    for (const InstanceId &id : ranked) {
        if (chosen.size() < count && usedDataCentres.insert(dataCentres[id]).second) {
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
