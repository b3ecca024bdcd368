#pragma once

#include "Request/Filter.h"
#include "Request/InFlightTable.h"
#include "State/ClaimProtocol.h"
#include "State/KeptStore.h"
#include "Timeline/Timeline.h"

namespace lycheearch {

/// Makes sure that requests with one key run at most once if they may not be repeated, and that a
/// repeat gets the answer of the first at any daemon.
class DeduplicateFilter : public Filter
{
public:
    DeduplicateFilter(InFlightTable &inFlight, KeptStore &kept, ClaimProtocol &claims,
                      PeerNetwork &network, const Roster &roster, Timeline &timeline,
                      const Clock &clock);

    Status apply(RequestContext &context) override;
    void settle(RequestContext &context, const Status &failure) override;

private:
    Status joinLocal(RequestContext &context, const InFlightTable::Ending &ending) const;
    /// Looks for the kept answer here, at its keepers and at \p owner.
    std::optional<FinishedAnswer> findKept(const RequestContext &context, const InstanceId &owner);
    Status replay(RequestContext &context, const FinishedAnswer &answer) const;
    Status claim(RequestContext &context);
    /// Waits for the end of a claim that another attempt holds. Returns nothing if the claim was
    /// released and the key can be claimed again.
    std::optional<Status> awaitHolder(RequestContext &context, const ClaimEntry &holder);

    InFlightTable &m_inFlight;
    KeptStore &m_kept;
    ClaimProtocol &m_claims;
    PeerNetwork &m_network;
    const Roster &m_roster;
    Timeline &m_timeline;
    const Clock &m_clock;
};

} // namespace lycheearch
