#include "State/Membership.h"

#include <algorithm>

namespace lycheearch {

Membership::Membership(InstanceId self, StartId startId, DataCentreId dataCentre,
                       Duration suspicionTimeout, std::map<InstanceId, Endpoint> addressOverrides)
    : m_self(std::move(self))
    , m_startId(std::move(startId))
    , m_dataCentre(std::move(dataCentre))
    , m_suspicionTimeout(suspicionTimeout)
    , m_addressOverrides(std::move(addressOverrides))
{
    for (const auto &[id, address] : m_addressOverrides) {
        if (id != m_self) {
            m_peers[id] = {id, {}, address, {}, false, std::nullopt};
        }
    }
}

std::vector<InstanceId> Membership::updateList(const std::vector<InstanceRecord> &instances)
{
    std::lock_guard lock(m_mutex);
    std::set<InstanceId> listed;
    for (const InstanceRecord &instance : instances) {
        if (instance.kind != InstanceKind::Entry || instance.id == m_self) {
            continue;
        }
        listed.insert(instance.id);
        m_departed.erase(instance.id);
        PeerInfo &member = m_peers[instance.id];
        member.id = instance.id;
        member.dataCentre = instance.dataCentre;
        member.leaving = instance.leaving;
        const auto overriding = m_addressOverrides.find(instance.id);
        member.peerAddress =
            overriding == m_addressOverrides.end() ? instance.peerAddress : overriding->second;
    }
    std::vector<InstanceId> unlisted;
    for (const auto &[id, member] : m_peers) {
        if (!listed.contains(id)) {
            unlisted.push_back(id);
        }
    }
    for (const InstanceId &id : unlisted) {
        m_departed[id] = m_peers[id].startId;
        m_peers.erase(id);
    }
    m_hasInstanceList = true;
    return unlisted;
}

void Membership::recordHeartbeat(const HeartbeatMessage &message, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    const auto departed = m_departed.find(message.sender);
    const bool stale = departed != m_departed.end() && departed->second == message.startId;
    if (message.sender == m_self || stale) {
        return;
    }
    PeerInfo &member = m_peers[message.sender];
    member.id = message.sender;
    member.dataCentre = message.dataCentre;
    member.startId = message.startId;
    member.lastHeartbeatAt = now;
}

void Membership::recordExchange(TimePoint now)
{
    std::lock_guard lock(m_mutex);
    m_exchangedAt = now;
}

std::vector<PeerInfo> Membership::peers() const
{
    std::lock_guard lock(m_mutex);
    std::vector<PeerInfo> members;
    for (const auto &[id, member] : m_peers) {
        members.push_back(member);
    }
    return members;
}

bool Membership::hasHeartbeatsFromAllPeers() const
{
    std::lock_guard lock(m_mutex);
    return std::all_of(m_peers.begin(), m_peers.end(),
                       [](const auto &item) { return item.second.lastHeartbeatAt.has_value(); });
}

std::vector<InstanceId> Membership::memberIds() const
{
    std::lock_guard lock(m_mutex);
    std::vector<InstanceId> ids{m_self};
    for (const auto &[id, member] : m_peers) {
        ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

bool Membership::isAliveLocked(const PeerInfo &member, TimePoint now) const
{
    const TimePoint heardUntil =
        m_exchangedAt ? std::min<TimePoint>(now, *m_exchangedAt + m_suspicionTimeout / 2) : now;
    return member.lastHeartbeatAt && heardUntil - *member.lastHeartbeatAt <= m_suspicionTimeout;
}

std::vector<InstanceId> Membership::aliveIds(TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    std::vector<InstanceId> ids{m_self};
    for (const auto &[id, member] : m_peers) {
        if (isAliveLocked(member, now)) {
            ids.push_back(id);
        }
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

std::vector<InstanceId> Membership::aliveInDataCentre(TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    std::vector<InstanceId> ids{m_self};
    for (const auto &[id, member] : m_peers) {
        if (member.dataCentre == m_dataCentre && isAliveLocked(member, now)) {
            ids.push_back(id);
        }
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

bool Membership::isAlive(const InstanceId &member, TimePoint now) const
{
    if (member == m_self) {
        return true;
    }
    std::lock_guard lock(m_mutex);
    const auto found = m_peers.find(member);
    return found != m_peers.end() && isAliveLocked(found->second, now);
}

bool Membership::isProcessAlive(const InstanceId &member, const StartId &startId,
                                TimePoint now) const
{
    if (member == m_self) {
        return startId == m_startId;
    }
    std::lock_guard lock(m_mutex);
    const auto found = m_peers.find(member);
    return found != m_peers.end() && found->second.startId == startId
        && isAliveLocked(found->second, now);
}

bool Membership::isMember(const InstanceId &member) const
{
    std::lock_guard lock(m_mutex);
    return member == m_self || m_peers.contains(member);
}

bool Membership::hasInstanceList() const
{
    std::lock_guard lock(m_mutex);
    return m_hasInstanceList;
}

std::optional<TimePoint> Membership::oldestPeerHeartbeat(TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    TimePoint oldest = now;
    for (const auto &[id, member] : m_peers) {
        if (member.dataCentre != m_dataCentre || member.leaving) {
            continue;
        }
        if (!member.lastHeartbeatAt) {
            return std::nullopt;
        }
        oldest = std::min(oldest, *member.lastHeartbeatAt);
    }
    return oldest;
}

} // namespace lycheearch
