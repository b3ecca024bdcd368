#pragma once

#include "Peer/PeerNetwork.h"
#include "State/Membership.h"
#include "State/SharedClaimTable.h"
#include "State/StreamAppender.h"

namespace lycheearch {

/// Result of an attempt to claim a key.
struct ClaimOutcome
{
    enum class Kind {
        Granted, ///< This daemon may run the request.
        Held, ///< Another claim holds the key.
        Refused, ///< The key can't be claimed at present. The request was not run.
    };
    Kind kind = Kind::Refused;
    ClaimId claim; ///< Granted only.
    ClaimEntry holder; ///< Held only.
    Status failure; ///< Refused only.
    bool grantedByPeers = false; ///< Granted by the consent of all peers, without the log.
};

/// Claims the keys of non-idempotent requests, so that only one daemon runs a request. The order of
/// records in the log decides between claims. While the log does not respond, a claim needs the
/// consent of all peers.
class ClaimProtocol
{
public:
    ClaimProtocol(SharedClaimTable &claimTable, StreamAppender &appender, PeerNetwork &network,
                  Membership &membership, Duration logTimeout, const Clock &clock);

    /// Claims a key. Waits for the log for the log timeout or half of the time to the deadline,
    /// whichever is shorter.
    /// Failures: NotReady until the claims of all peers are copied; ClaimUncertain if the log does
    /// not respond and either not every peer consents, or the membership is unknown or changes
    /// during the requests for consent.
    ClaimOutcome acquire(const RequestKey &key, TimePoint deadline, TimePoint now);
    /// Releases a claim whose request was not sent, so that a repeat of the request can run.
    void release(const RequestKey &key, const ClaimId &claim, TimePoint now);
    /// Marks a claim as finished: its request was sent.
    void finish(const RequestKey &key, const ClaimId &claim, TimePoint now);
    /// Queries the holder of a key for the phase of its claim. PeerUnavailable if the holder is not
    /// reachable.
    Result<ClaimAnswer> status(const ClaimEntry &holder);

private:
    std::optional<ClaimOutcome> acquireByLog(const ClaimEntry &entry, Duration limit);
    ClaimOutcome acquireByPeers(const ClaimEntry &entry);
    ClaimOutcome refuse(const ClaimEntry &entry, const std::string &reason);

    SharedClaimTable &m_claimTable;
    StreamAppender &m_appender;
    PeerNetwork &m_network;
    Membership &m_membership;
    Duration m_logTimeout;
    const Clock &m_clock;
};

} // namespace lycheearch
