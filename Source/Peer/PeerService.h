#pragma once

#include "Peer/PeerMessages.h"

namespace lycheearch {

/// Handles the calls of other daemons; PeerNetwork describes each call. The functions run on the
/// peer thread, which serves all connections, and must not block.
class PeerService
{
public:
    virtual ~PeerService() = default;

    virtual HeartbeatMessage onHeartbeat(const HeartbeatMessage &message, TimePoint now) = 0;
    virtual ConfigAnswer onFetchConfig(Revision from) = 0;
    virtual ClaimAnswer onRequestClaimConsent(const ClaimAsk &ask, TimePoint now) = 0;
    virtual void onReleaseClaim(const RequestKey &key, const ClaimId &claim, TimePoint now) = 0;
    virtual ClaimAnswer onClaimStatus(const RequestKey &key, const ClaimId &claim) = 0;
    virtual std::vector<ClaimEntry> onCopyClaims() = 0;
    virtual std::vector<KeptRecord> onStoreReplicas(const std::vector<KeptRecord> &records,
                                                    TimePoint now) = 0;
    virtual std::optional<KeptRecord> onFetchReplica(KeptKind kind, const std::string &key,
                                                     TimePoint now) = 0;
    virtual void onDeleteReplicas(KeptKind kind, const std::vector<std::string> &keys) = 0;
    virtual PermitAnswer onTakePermit(const InstanceId &backend, const StartId &startId,
                                      const InstanceId &holder, TimePoint now) = 0;
    virtual void onReturnPermit(const InstanceId &backend, const std::string &permit,
                                TimePoint now) = 0;
};

} // namespace lycheearch
