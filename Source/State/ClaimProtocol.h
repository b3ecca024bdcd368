#pragma once

#include "Peer/PeerNetwork.h"
#include "State/ClaimKeeper.h"
#include "State/Roster.h"
#include "State/StreamAppender.h"

namespace lycheearch {

/// How an attempt to claim a key ended.
struct ClaimOutcome
{
    enum class Kind {
        Granted, ///< This daemon may run the request.
        Held, ///< Another attempt holds the key.
        Refused, ///< Nothing was run, and nothing can be claimed now.
    };
    Kind kind = Kind::Refused;
    ClaimId claim; ///< Granted only.
    ClaimEntry holder; ///< Held only.
    Status failure; ///< Refused only.
    bool byPeers = false; ///< Granted without the log.
};

/// Claims keys of non-idempotent requests: through the log, or while the log does not answer by
/// the unanimous consent of all daemons.
class ClaimProtocol
{
public:
    ClaimProtocol(ClaimKeeper &keeper, StreamAppender &appender, PeerNetwork &network,
                  Roster &roster, Duration logTimeout, const Clock &clock);

    ClaimOutcome acquire(const RequestKey &key, TimePoint deadline, TimePoint now);
    /// The claim ended with nothing sent; a repeat may run.
    void release(const RequestKey &key, const ClaimId &claim, TimePoint now);
    /// The request was sent.
    void finish(const RequestKey &key, const ClaimId &claim, TimePoint now);
    /// What the holder of a key says of it. PeerUnavailable if it cannot be asked.
    Result<ClaimAnswer> status(const ClaimEntry &holder);

private:
    std::optional<ClaimOutcome> acquireByLog(const ClaimEntry &entry, Duration limit);
    ClaimOutcome acquireByPeers(const ClaimEntry &entry);
    ClaimOutcome refuse(const ClaimEntry &entry, const std::string &reason);

    ClaimKeeper &m_keeper;
    StreamAppender &m_appender;
    PeerNetwork &m_network;
    Roster &m_roster;
    Duration m_logTimeout;
    const Clock &m_clock;
};

} // namespace lycheearch
