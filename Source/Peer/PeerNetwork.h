#pragma once

#include <vector>

#include "Base/Endpoint.h"
#include "Base/Error.h"
#include "Peer/PeerMessages.h"

namespace lycheearch {

/// Outgoing calls to other daemons. Each call blocks up to the peer timeout. A failed call returns
/// PeerUnavailable and closes the connection to that peer, and the next call opens a new one, so
/// that a hung connection does not make later calls fail.
class PeerNetwork
{
public:
    virtual ~PeerNetwork() = default;

    /// Sets the addresses of all peers. Closes the connections to peers that are no longer listed
    /// or whose address changed.
    virtual void setPeers(const std::vector<std::pair<InstanceId, Endpoint>> &peers) = 0;

    /// Sends a heartbeat and returns the peer's own.
    virtual Result<HeartbeatMessage> sendHeartbeat(const InstanceId &peer,
                                                   const HeartbeatMessage &message) = 0;
    /// As sendHeartbeat(), to all \p peers in parallel. The results have the order of \p peers.
    virtual std::vector<Result<HeartbeatMessage>>
    sendHeartbeatToAll(const std::vector<InstanceId> &peers, const HeartbeatMessage &message) = 0;
    /// Fetches the peer's configuration if its revision is newer than \p from.
    virtual Result<ConfigAnswer> fetchConfig(const InstanceId &peer, Revision from) = 0;
    /// Requests consent to a claim from all \p peers in parallel. The results have the order of
    /// \p peers.
    virtual std::vector<Result<ClaimAnswer>>
    requestClaimConsent(const std::vector<InstanceId> &peers, const ClaimAsk &ask) = 0;
    /// Releases a claim at all \p peers in parallel. Failures are ignored.
    virtual void releaseClaim(const std::vector<InstanceId> &peers, const RequestKey &key,
                              const ClaimId &claim) = 0;
    /// Returns the phase of a claim at the peer that owns it; Absent also if that peer holds the
    /// claim but no longer runs its request.
    virtual Result<ClaimAnswer> claimStatus(const InstanceId &peer, const RequestKey &key,
                                            const ClaimId &claim) = 0;
    /// Returns all entries of the peer's claim table.
    virtual Result<std::vector<ClaimEntry>> copyClaims(const InstanceId &peer) = 0;
    /// Stores records at the peer. Returns the answers and session pins that the peer already had
    /// under the same keys and did not overwrite, and the bills that it rejected because its store
    /// is full.
    virtual Result<std::vector<KeptRecord>>
    storeReplicas(const InstanceId &peer, const std::vector<KeptRecord> &records) = 0;
    /// Stores records at all \p peers in parallel. Returns the result of each peer, as for one
    /// peer, in the order of \p peers.
    virtual std::vector<Result<std::vector<KeptRecord>>>
    storeReplicasAtAll(const std::vector<InstanceId> &peers,
                       const std::vector<KeptRecord> &records) = 0;
    /// Reads a record from all \p peers in parallel and returns the first one found, in the order
    /// of \p peers. Returns std::nullopt if no peer that responded has it.
    virtual std::optional<KeptRecord> fetchReplicaFromAny(const std::vector<InstanceId> &peers,
                                                          KeptKind kind,
                                                          const std::string &key) = 0;
    /// Reads a record from one peer; std::nullopt if the peer does not have it.
    virtual Result<std::optional<KeptRecord>> fetchReplica(const InstanceId &peer, KeptKind kind,
                                                           const std::string &key) = 0;
    /// Deletes records at the peer.
    virtual Status deleteReplicas(const InstanceId &peer, KeptKind kind,
                                  const std::vector<std::string> &keys) = 0;
    /// Requests a permit for one request to a backend server in cold start. \p startId identifies
    /// the run of the server.
    virtual Result<PermitAnswer> takePermit(const InstanceId &peer, const InstanceId &backend,
                                            const StartId &startId) = 0;
    /// Returns a permit, so that the peer can issue another.
    virtual Status returnPermit(const InstanceId &peer, const InstanceId &backend,
                                const std::string &permit) = 0;
};

} // namespace lycheearch
