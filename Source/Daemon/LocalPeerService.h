#pragma once

#include <atomic>

#include "Base/HybridClock.h"
#include "Peer/PeerService.h"
#include "Request/InFlightTable.h"
#include "Routing/ColdStartGatekeeper.h"
#include "Routing/VersionStats.h"
#include "State/ConfigStore.h"
#include "State/Membership.h"
#include "State/ReplicaStore.h"
#include "State/SharedClaimTable.h"

namespace lycheearch {

/// Answers the RPCs of peers from the state of this daemon, and builds and applies heartbeats.
class LocalPeerService : public PeerService
{
public:
    LocalPeerService(StartId startId, Membership &membership, ConfigStore &config,
                     SharedClaimTable &claims, ReplicaStore &replicas, BackendTable &backends,
                     ColdStartGatekeeper &gatekeeper, VersionStats &stats, InFlightTable &inFlight,
                     HybridClock &hybridClock, const std::atomic<bool> &stopping,
                     const Clock &clock);

    /// Builds the heartbeat of this daemon.
    HeartbeatMessage makeHeartbeat(TimePoint now);
    /// Applies the heartbeat of a peer.
    void applyHeartbeat(const HeartbeatMessage &message, TimePoint now);

    HeartbeatMessage onHeartbeat(const HeartbeatMessage &message, TimePoint now) override;
    ConfigAnswer onFetchConfig(Revision from) override;
    ClaimAnswer onRequestClaimConsent(const ClaimAsk &ask, TimePoint now) override;
    void onReleaseClaim(const RequestKey &key, const ClaimId &claim, TimePoint now) override;
    ClaimAnswer onClaimStatus(const RequestKey &key, const ClaimId &claim) override;
    std::vector<ClaimEntry> onCopyClaims() override;
    std::vector<KeptRecord> onStoreReplicas(const std::vector<KeptRecord> &records,
                                            TimePoint now) override;
    std::optional<KeptRecord> onFetchReplica(KeptKind kind, const std::string &key,
                                             TimePoint now) override;
    void onDeleteReplicas(KeptKind kind, const std::vector<std::string> &keys) override;
    PermitAnswer onTakePermit(const InstanceId &backend, const StartId &startId,
                              const InstanceId &holder, TimePoint now) override;
    void onReturnPermit(const InstanceId &backend, const std::string &permit,
                        TimePoint now) override;

private:
    StartId m_startId;
    Membership &m_membership;
    ConfigStore &m_config;
    SharedClaimTable &m_claims;
    ReplicaStore &m_replicas;
    BackendTable &m_backends;
    ColdStartGatekeeper &m_gatekeeper;
    VersionStats &m_stats;
    InFlightTable &m_inFlight;
    HybridClock &m_hybridClock;
    const std::atomic<bool> &m_stopping;
    const Clock &m_clock;
};

} // namespace lycheearch
