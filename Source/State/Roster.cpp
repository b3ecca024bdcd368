#include "State/Roster.h"

#include <algorithm>

namespace lycheearch {

Roster::Roster(InstanceId self, StartId startId, DataCentreId dataCentre, Duration suspicion,
               std::map<InstanceId, Endpoint> addressOverrides)
    : m_self(std::move(self))
    , m_startId(std::move(startId))
    , m_dataCentre(std::move(dataCentre))
    , m_suspicion(suspicion)
    , m_overrides(std::move(addressOverrides))
{
    for (const auto &[id, address] : m_overrides) {
        if (id != m_self) {
            m_peers[id] = {id, {}, address, {}, false, std::nullopt};
        }
    }
}

std::vector<InstanceId> Roster::updateList(const std::vector<InstanceRecord> &instances)
{
    std::lock_guard lock(m_mutex);
    std::set<InstanceId> listed;
    for (const InstanceRecord &instance : instances) {
        if (instance.kind != InstanceKind::Entry || instance.id == m_self) {
            continue;
        }
        listed.insert(instance.id);
        m_departed.erase(instance.id);
        RosterMember &member = m_peers[instance.id];
        member.id = instance.id;
        member.dataCentre = instance.dataCentre;
        member.leaving = instance.leaving;
        const auto overriding = m_overrides.find(instance.id);
        member.peerAddress =
            overriding == m_overrides.end() ? instance.peerAddress : overriding->second;
    }
    std::vector<InstanceId> gone;
    for (const auto &[id, member] : m_peers) {
        if (!listed.contains(id)) {
            gone.push_back(id);
        }
    }
    for (const InstanceId &id : gone) {
        m_departed[id] = m_peers[id].startId;
        m_peers.erase(id);
    }
    m_listKnown = true;
    return gone;
}

void Roster::heard(const ExchangeMessage &message, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    const auto departed = m_departed.find(message.sender);
    const bool stale = departed != m_departed.end() && departed->second == message.startId;
    if (message.sender == m_self || stale) {
        return;
    }
    RosterMember &member = m_peers[message.sender];
    member.id = message.sender;
    member.dataCentre = message.dataCentre;
    member.startId = message.startId;
    member.lastHeard = now;
}

std::vector<RosterMember> Roster::peers() const
{
    std::lock_guard lock(m_mutex);
    std::vector<RosterMember> members;
    for (const auto &[id, member] : m_peers) {
        members.push_back(member);
    }
    return members;
}

bool Roster::heardAll() const
{
    std::lock_guard lock(m_mutex);
    return std::all_of(m_peers.begin(), m_peers.end(),
                       [](const auto &item) { return item.second.lastHeard.has_value(); });
}

std::vector<InstanceId> Roster::memberIds() const
{
    std::lock_guard lock(m_mutex);
    std::vector<InstanceId> ids{m_self};
    for (const auto &[id, member] : m_peers) {
        ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

bool Roster::aliveLocked(const RosterMember &member, TimePoint now) const
{
    return member.lastHeard && now - *member.lastHeard <= m_suspicion;
}

std::vector<InstanceId> Roster::aliveIds(TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    std::vector<InstanceId> ids{m_self};
    for (const auto &[id, member] : m_peers) {
        if (aliveLocked(member, now)) {
            ids.push_back(id);
        }
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

std::vector<InstanceId> Roster::aliveInDataCentre(TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    std::vector<InstanceId> ids{m_self};
    for (const auto &[id, member] : m_peers) {
        if (member.dataCentre == m_dataCentre && aliveLocked(member, now)) {
            ids.push_back(id);
        }
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

bool Roster::isAlive(const InstanceId &member, TimePoint now) const
{
    if (member == m_self) {
        return true;
    }
    std::lock_guard lock(m_mutex);
    const auto found = m_peers.find(member);
    return found != m_peers.end() && aliveLocked(found->second, now);
}

bool Roster::isRunAlive(const InstanceId &member, const StartId &startId, TimePoint now) const
{
    if (member == m_self) {
        return startId == m_startId;
    }
    std::lock_guard lock(m_mutex);
    const auto found = m_peers.find(member);
    return found != m_peers.end() && found->second.startId == startId
        && aliveLocked(found->second, now);
}

bool Roster::isMember(const InstanceId &member) const
{
    std::lock_guard lock(m_mutex);
    return member == m_self || m_peers.contains(member);
}

bool Roster::listKnown() const
{
    std::lock_guard lock(m_mutex);
    return m_listKnown;
}

std::optional<TimePoint> Roster::allHeardSince(TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    TimePoint oldest = now;
    for (const auto &[id, member] : m_peers) {
        if (member.dataCentre != m_dataCentre || member.leaving) {
            continue;
        }
        if (!member.lastHeard) {
            return std::nullopt;
        }
        oldest = std::min(oldest, *member.lastHeard);
    }
    return oldest;
}

} // namespace lycheearch
