#include "Daemon/PeerExchange.h"

#include "Base/Logger.h"

namespace lycheearch {

namespace {
const Logger Log("peer");
}

PeerExchange::PeerExchange(PeerNetwork &network, LocalPeerService &service, Membership &membership,
                           ConfigStore &config, SharedClaimTable &claims, Duration period,
                           const Clock &clock)
    : m_network(network)
    , m_service(service)
    , m_membership(membership)
    , m_config(config)
    , m_claims(claims)
    , m_period(period)
    , m_clock(clock)
{
}

std::vector<InstanceId> PeerExchange::nextPeers(TimePoint now)
{
    std::vector<InstanceId> due;
    for (const PeerInfo &peer : m_membership.peers()) {
        const bool heardRecently =
            peer.lastHeartbeatAt && now - *peer.lastHeartbeatAt < m_period * 3 / 4;
        if (!heardRecently) {
            due.push_back(peer.id);
        }
    }
    std::vector<InstanceId> chosen;
    for (std::size_t i = 0; i < std::min(due.size(), MaxPeersPerRound); ++i) {
        chosen.push_back(due[(m_nextPeerIndex + i) % due.size()]);
    }
    m_nextPeerIndex += chosen.size();
    return chosen;
}

Duration PeerExchange::step()
{
    const TimePoint start = m_clock.now();
    const std::vector<InstanceId> peers = nextPeers(start);
    const auto answers = m_network.sendHeartbeatToAll(peers, m_service.makeHeartbeat(start));
    for (std::size_t i = 0; i < answers.size(); ++i) {
        if (!answers[i].ok()) {
            Log.debug("Heartbeat exchange failed with peer " + answers[i].failure().message + ".");
            continue;
        }
        const HeartbeatMessage &answer = answers[i].value();
        m_service.applyHeartbeat(answer, m_clock.now());
        if (answer.revision <= m_config.current()->revision) {
            continue;
        }
        const auto config = m_network.fetchConfig(peers[i], m_config.current()->revision);
        if (config.ok() && m_config.applySnapshot(config.value().snapshot, m_clock.now())) {
            Log.info("Configuration revision "
                     + std::to_string(m_config.current()->revision.value()) + " fetched from "
                     + peers[i].value() + ".");
        }
    }
    m_membership.recordExchange(m_clock.now());
    if (!m_claims.complete()) {
        copyAllClaims();
    }
    return std::max<Duration>(m_period - (m_clock.now() - start), 1ms);
}

void PeerExchange::copyAllClaims()
{
    // A peer that has sent a heartbeat has this daemon in its membership and requests its consent
    // to each claim that the log does not confirm, so no claim is missed after the copy.
    if (!m_membership.hasInstanceList() || !m_membership.hasHeartbeatsFromAllPeers()) {
        return;
    }
    for (const PeerInfo &peer : m_membership.peers()) {
        const auto claims = m_network.copyClaims(peer.id);
        if (!claims.ok()) {
            return;
        }
        m_claims.merge(claims.value(), m_clock.now());
    }
    m_claims.setComplete();
    Log.info("Copied the claims of all peers; the claim table is complete.");
}

} // namespace lycheearch
