#pragma once

#include <memory>

#include "Peer/PeerAuthenticator.h"
#include "Peer/PeerNetwork.h"
#include "Peer/PeerService.h"

namespace lycheearch {

/// Cap'n Proto RPC between daemons. One thread, the peer thread, serves incoming calls and sends
/// outgoing ones.
class RpcPeerNetwork : public PeerNetwork
{
public:
    /// \p timeout bounds each outgoing call. \p service handles incoming calls and must outlive
    /// this object.
    RpcPeerNetwork(InstanceId self, Endpoint listen, Duration timeout,
                   PeerAuthenticator authenticator, PeerService &service, const Clock &clock);
    ~RpcPeerNetwork() override;
    RpcPeerNetwork(const RpcPeerNetwork &) = delete;
    RpcPeerNetwork &operator=(const RpcPeerNetwork &) = delete;

    /// Starts the peer thread and listens. Returns PeerUnavailable if it cannot listen on the
    /// address.
    Status start();
    /// Closes all connections and joins the peer thread.
    void stop();

    void setPeers(const std::vector<std::pair<InstanceId, Endpoint>> &peers) override;
    Result<HeartbeatMessage> sendHeartbeat(const InstanceId &peer,
                                           const HeartbeatMessage &message) override;
    std::vector<Result<HeartbeatMessage>>
    sendHeartbeatToAll(const std::vector<InstanceId> &peers,
                       const HeartbeatMessage &message) override;
    Result<ConfigAnswer> fetchConfig(const InstanceId &peer, Revision from) override;
    std::vector<Result<ClaimAnswer>> requestClaimConsent(const std::vector<InstanceId> &peers,
                                                         const ClaimAsk &ask) override;
    void releaseClaim(const std::vector<InstanceId> &peers, const RequestKey &key,
                      const ClaimId &claim) override;
    Result<ClaimAnswer> claimStatus(const InstanceId &peer, const RequestKey &key,
                                    const ClaimId &claim) override;
    Result<std::vector<ClaimEntry>> copyClaims(const InstanceId &peer) override;
    Result<std::vector<KeptRecord>> storeReplicas(const InstanceId &peer,
                                                  const std::vector<KeptRecord> &records) override;
    std::vector<Result<std::vector<KeptRecord>>>
    storeReplicasAtAll(const std::vector<InstanceId> &peers,
                       const std::vector<KeptRecord> &records) override;
    std::optional<KeptRecord> fetchReplicaFromAny(const std::vector<InstanceId> &peers,
                                                  KeptKind kind, const std::string &key) override;
    Result<std::optional<KeptRecord>> fetchReplica(const InstanceId &peer, KeptKind kind,
                                                   const std::string &key) override;
    Status deleteReplicas(const InstanceId &peer, KeptKind kind,
                          const std::vector<std::string> &keys) override;
    Result<PermitAnswer> takePermit(const InstanceId &peer, const InstanceId &backend,
                                    const StartId &startId) override;
    Status returnPermit(const InstanceId &peer, const InstanceId &backend,
                        const std::string &permit) override;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace lycheearch
