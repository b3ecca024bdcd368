#pragma once

#include <vector>

#include "Base/Endpoint.h"
#include "Base/Error.h"
#include "Peer/PeerMessages.h"

namespace lycheearch {

/// Calls to other daemons. Every call blocks up to the peer time limit; a peer that does not
/// answer in time has its connection replaced. A failure of any call is PeerUnavailable.
class PeerNetwork
{
public:
    virtual ~PeerNetwork() = default;

    /// Sets the addresses of all peers. Connections to other peers are closed.
    virtual void setPeers(const std::vector<std::pair<InstanceId, Endpoint>> &peers) = 0;

    virtual Result<ExchangeMessage> exchange(const InstanceId &peer,
                                             const ExchangeMessage &message) = 0;
    /// As exchange(), with all \p peers at once.
    virtual std::vector<Result<ExchangeMessage>> exchangeAll(const std::vector<InstanceId> &peers,
                                                             const ExchangeMessage &message) = 0;
    virtual Result<ConfigAnswer> fetchConfig(const InstanceId &peer, Revision from) = 0;
    /// Asks all \p peers at once. A peer that does not answer has its failure in its place.
    virtual std::vector<Result<ClaimAnswer>> askClaims(const std::vector<InstanceId> &peers,
                                                       const ClaimAsk &ask) = 0;
    /// Tells all \p peers at once; those out of reach are left out.
    virtual void releaseClaim(const std::vector<InstanceId> &peers, const RequestKey &key,
                              const ClaimId &claim) = 0;
    virtual Result<ClaimAnswer> claimStatus(const InstanceId &peer, const RequestKey &key,
                                            const ClaimId &claim) = 0;
    virtual Result<std::vector<ClaimEntry>> copyClaims(const InstanceId &peer) = 0;
    /// Returns what the peer already held under the keys of session records.
    virtual Result<std::vector<KeptRecord>> keep(const InstanceId &peer,
                                                 const std::vector<KeptRecord> &records) = 0;
    /// As keep(), with all \p peers at once.
    virtual std::vector<Result<std::vector<KeptRecord>>>
    keepAll(const std::vector<InstanceId> &peers, const std::vector<KeptRecord> &records) = 0;
    /// Asks all \p peers at once; the first record found, if any.
    virtual std::optional<KeptRecord> fetchKeptAny(const std::vector<InstanceId> &peers,
                                                   KeptKind kind, const std::string &key) = 0;
    virtual Result<std::optional<KeptRecord>> fetchKept(const InstanceId &peer, KeptKind kind,
                                                        const std::string &key) = 0;
    virtual Status dropKept(const InstanceId &peer, KeptKind kind,
                            const std::vector<std::string> &keys) = 0;
    virtual Result<PermitAnswer> takePermit(const InstanceId &peer, const InstanceId &backend,
                                            const StartId &startId) = 0;
    virtual Status returnPermit(const InstanceId &peer, const InstanceId &backend,
                                const std::string &permit) = 0;
};

} // namespace lycheearch
