#pragma once

#include "Request/Filter.h"
#include "Request/InFlightTable.h"
#include "State/ClaimProtocol.h"
#include "State/ReplicaStore.h"
#include "Timeline/Timeline.h"

namespace lycheearch {

/// Deduplicates requests by their idempotency key. A repeat receives the result of the first
/// request, whichever daemon processed that one. A non-idempotent request claims its key before it
/// runs, so that it runs at most once.
class DeduplicateFilter : public Filter
{
public:
    DeduplicateFilter(InFlightTable &inFlight, ReplicaStore &kept, ClaimProtocol &claims,
                      PeerNetwork &network, const Membership &membership, Timeline &timeline,
                      const Clock &clock);

    Status apply(RequestContext &context) override;
    void onRequestEnd(RequestContext &context, const Status &failure) override;

private:
    Status awaitInFlight(RequestContext &context,
                         const InFlightTable::ResultFuture &firstResult) const;
    /// Looks up the stored result at this daemon, then at the daemons that hold its replicas and at
    /// \p owner, which may be empty.
    std::optional<RequestResult> findStoredResult(const RequestContext &context,
                                                  const InstanceId &owner);
    Status replay(RequestContext &context, const RequestResult &result) const;
    Status claim(RequestContext &context);
    /// Waits until the claim \p holder ends, or until the deadline. Returns std::nullopt if the
    /// claim was released, so that the key can be claimed again.
    std::optional<Status> awaitHolder(RequestContext &context, const ClaimEntry &holder);

    InFlightTable &m_inFlight;
    ReplicaStore &m_replicas;
    ClaimProtocol &m_claims;
    PeerNetwork &m_network;
    const Membership &m_membership;
    Timeline &m_timeline;
    const Clock &m_clock;
};

} // namespace lycheearch
