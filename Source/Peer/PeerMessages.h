#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Base/HybridClock.h"
#include "Base/Ids.h"
#include "Base/Time.h"

namespace lycheearch {

/// The last load report that a daemon has of a backend server in cold start, as sent to its peers.
struct BackendLoadReport
{
    InstanceId backend;
    StartId startId;
    bool cold = false;
    int inFlight = 0;
    Duration age{}; ///< Since the report was taken; whole milliseconds on the wire.
};

/// Request counts of one daemon for a version in a task class, with exponential decay.
struct VersionCount
{
    TaskClass taskClass;
    VersionId version;
    double requests = 0; ///< Answered requests.
    double errors = 0;
    double rated = 0; ///< Rated answers.
    double good = 0; ///< Answers that were rated good.
    double tokens = 0;
    double latencySeconds = 0; ///< Sum over the answered requests.
};

/// Heartbeat between daemons: liveness, clock, configuration revision, load reports and version
/// counts of the sender. The receiver responds with its own.
struct HeartbeatMessage
{
    InstanceId sender;
    StartId startId;
    DataCentreId dataCentre;
    HybridTime time = 0;
    Revision revision;
    bool stopping = false;
    std::vector<BackendLoadReport> loads;
    std::vector<VersionCount> counts;
    std::vector<std::string> provisional; ///< Configuration records not yet in the log.
};

/// Response of a peer to a request for its configuration.
struct ConfigAnswer
{
    Revision revision;
    std::string snapshot; ///< Empty if the peer has no newer revision.
};

/// State of a claim in a daemon's claim table: not in the table, held, released because its request
/// did not run, or finished because its request ran or may have run.
enum class ClaimPhase { Absent, Held, Released, Finished };

/// Requests a peer's consent to a claim on the key of a non-idempotent request.
struct ClaimAsk
{
    RequestKey key;
    ClaimId claim;
    InstanceId owner;
    std::vector<InstanceId> roster; ///< All daemons that the owner knows, including itself.
};

/// A peer's response about a claim: its consent, or the claim that holds the key.
struct ClaimAnswer
{
    bool consent = false;
    InstanceId holder;
    ClaimId claim;
    ClaimPhase phase = ClaimPhase::Absent;
    std::string reason;
};

/// One entry of a claim table. A starting daemon copies the entries of its peers.
struct ClaimEntry
{
    RequestKey key;
    ClaimId claim;
    InstanceId owner;
    ClaimPhase phase = ClaimPhase::Held;
};

/// What a replicated record holds: the answer of a finished request, the version that a session is
/// pinned to, or a bill that is not yet in the log.
enum class KeptKind { Answer, Session, Bill };

/// A record that a daemon stores as a replica for its owner.
struct KeptRecord
{
    KeptKind kind = KeptKind::Answer;
    std::string key;
    InstanceId owner;
    std::string data;
    StartId ownerStart{}; ///< Identifies the owner's process; bills only.
};

/// Response to a request for a permit to send one request to a backend server in cold start.
struct PermitAnswer
{
    std::string permit; ///< Empty if refused.
    std::string reason; ///< Why the permit was refused.
};

} // namespace lycheearch
