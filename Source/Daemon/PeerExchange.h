#pragma once

#include "Daemon/LocalPeerService.h"
#include "Peer/PeerNetwork.h"

namespace lycheearch {

/// Sends heartbeats to peers, takes in theirs, and fetches a newer configuration. It also completes
/// the claim table of a daemon that has just started.
class PeerExchange
{
public:
    static constexpr std::size_t MostPerRound = 16; ///< Peers spoken to in one round.

    PeerExchange(PeerNetwork &network, LocalPeerService &service, Roster &roster,
                 ConfigStore &config, ClaimKeeper &claims, Duration period, const Clock &clock);

    /// One round. Returns the wait until the next.
    Duration step();

private:
    /// Peers that are due: those not heard of in this period, because one exchange informs both
    /// sides.
    std::vector<InstanceId> nextPeers(TimePoint now);
    void completeClaims();

    PeerNetwork &m_network;
    LocalPeerService &m_service;
    Roster &m_roster;
    ConfigStore &m_config;
    ClaimKeeper &m_claims;
    Duration m_period;
    const Clock &m_clock;
    std::size_t m_position = 0;
};

} // namespace lycheearch
