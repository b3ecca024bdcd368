#pragma once

#include "Daemon/LocalPeerService.h"
#include "Peer/PeerNetwork.h"

namespace lycheearch {

/// Exchanges heartbeats with peers and fetches the configuration from a peer that has a newer
/// revision. After a start, it also copies the claims of all peers; until then, this daemon must
/// neither claim keys nor consent to claims.
class PeerExchange
{
public:
    static constexpr std::size_t MaxPeersPerRound = 16; ///< Peers contacted in one round.

    PeerExchange(PeerNetwork &network, LocalPeerService &service, Membership &membership,
                 ConfigStore &config, SharedClaimTable &claims, Duration period,
                 const Clock &clock);

    /// Runs one round. Returns the delay until the next.
    Duration step();

private:
    /// Peers to contact in this round, in rotation. Peers whose heartbeat arrived within the last
    /// three quarters of a period are skipped, since one exchange updates both sides.
    std::vector<InstanceId> nextPeers(TimePoint now);
    /// Copies the claims of all peers, once the instance list was read and a heartbeat of every
    /// peer has arrived.
    void copyAllClaims();

    PeerNetwork &m_network;
    LocalPeerService &m_service;
    Membership &m_membership;
    ConfigStore &m_config;
    SharedClaimTable &m_claims;
    Duration m_period;
    const Clock &m_clock;
    std::size_t m_nextPeerIndex = 0; ///< Start of the rotation over the due peers.
};

} // namespace lycheearch
