#include "Routing/PeerSelector.h"

#include <algorithm>

#include "Base/Hash.h"

namespace lycheearch {

namespace {

/// Requests in flight at a daemon of the own data centre from which on one of another data centre
/// is as good.
constexpr int RemotePenaltyRequests = 6;
constexpr Duration DeclinedExclusion = 500ms;
constexpr Duration LostExclusion = 1s;
/// What the other daemons told about cut-off daemons expires after this time.
constexpr Duration CutOffLifetime = 2s;

} // namespace

PeerSelector::PeerSelector(InstanceId self, DataCentreId ownDataCentre)
    : m_self(std::move(self))
    , m_ownDataCentre(std::move(ownDataCentre))
{
}

bool PeerSelector::cutOff(const InstanceId &daemon, const ServiceId &service, TimePoint now) const
{
    const auto found = m_cutOff.find(daemon);
    return found != m_cutOff.end() && now - m_cutOffAt < CutOffLifetime
        && found->second.contains(service);
}

void PeerSelector::setMembers(std::vector<MemberRegistered> members)
{
    m_members = std::move(members);
    std::erase_if(m_members, [this](const MemberRegistered &member) {
        return member.instance == m_self || !member.relay;
    });
    std::erase_if(m_peers, [this](const auto &entry) {
        return entry.second.inFlight == 0
            && std::none_of(
                   m_members.begin(), m_members.end(),
                   [&](const MemberRegistered &member) { return member.instance == entry.first; });
    });
}

std::optional<MemberRegistered> PeerSelector::choose(const ServiceId &service,
                                                     const std::set<InstanceId> &tried,
                                                     std::uint64_t requestHash, TimePoint now) const
{
    const MemberRegistered *best = nullptr;
    int bestCost = 0;
    std::uint64_t bestTie = 0;
    for (const MemberRegistered &member : m_members) {
        const InstanceId &id = member.instance;
        const auto peer = m_peers.find(id);
        const bool excluded = peer != m_peers.end() && peer->second.excludedUntil > now;
        if (excluded || tried.contains(id) || cutOff(id, service, now)) {
            continue;
        }
        const int inFlight = peer == m_peers.end() ? 0 : peer->second.inFlight;
        const int cost =
            inFlight + (member.dataCentre == m_ownDataCentre ? 0 : RemotePenaltyRequests);
        const std::uint64_t tie = mixBits(requestHash ^ stableHash(id.value()));
        if (best == nullptr || cost < bestCost || (cost == bestCost && tie > bestTie)) {
            best = &member;
            bestCost = cost;
            bestTie = tie;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

void PeerSelector::onSent(const InstanceId &peer)
{
    ++m_peers[peer].inFlight;
}

void PeerSelector::onEnded(const InstanceId &peer, PeerOutcome outcome, TimePoint now)
{
    Peer &state = m_peers[peer];
    --state.inFlight;
    if (outcome == PeerOutcome::Declined) {
        state.excludedUntil = now + DeclinedExclusion;
    } else if (outcome == PeerOutcome::Lost) {
        state.excludedUntil = now + LostExclusion;
    }
}

void PeerSelector::setCutOff(const std::vector<CutOffDaemon> &daemons, TimePoint now)
{
    m_cutOff.clear();
    for (const CutOffDaemon &entry : daemons) {
        m_cutOff[entry.daemon].insert(entry.services.begin(), entry.services.end());
    }
    m_cutOffAt = now;
}

} // namespace lycheearch
