#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Base/HybridClock.h"
#include "Base/Ids.h"
#include "Base/Time.h"

namespace lycheearch {

/// What a daemon last learned of a backend server by asking it.
struct BackendLoadReport
{
    InstanceId backend;
    StartId startId;
    bool cold = false;
    int inFlight = 0;
    Duration age{}; ///< Time since the server said so.
};

/// Decayed counts of one daemon for a version in a task class.
struct VersionCount
{
    TaskClass taskClass;
    VersionId version;
    double requests = 0;
    double errors = 0;
    double rated = 0;
    double good = 0;
    double tokens = 0;
    double latencySeconds = 0;
};

/// Heartbeat between daemons, with what each should know of the other.
struct ExchangeMessage
{
    InstanceId sender;
    StartId startId;
    DataCentreId dataCentre;
    HybridTime time = 0;
    Revision revision;
    bool stopping = false;
    std::vector<BackendLoadReport> loads;
    std::vector<VersionCount> counts;
    std::vector<std::string> provisional; ///< Configuration records that the log lacks.
};

/// State of the configuration fold of a peer.
struct ConfigAnswer
{
    Revision revision;
    std::string snapshot; ///< Empty: the peer has nothing newer.
};

enum class ClaimPhase { Absent, Held, Released, Finished };

/// Asks a peer to consent to a claim.
struct ClaimAsk
{
    RequestKey key;
    ClaimId claim;
    InstanceId owner;
    std::vector<InstanceId> roster; ///< All daemons that the asker asks, itself included.
};

/// What a peer knows of a key.
struct ClaimAnswer
{
    bool consent = false;
    InstanceId holder;
    ClaimId claim;
    ClaimPhase phase = ClaimPhase::Absent;
    std::string reason;
};

/// One entry of a claim table, for a daemon that starts.
struct ClaimEntry
{
    RequestKey key;
    ClaimId claim;
    InstanceId owner;
    ClaimPhase phase = ClaimPhase::Held;
};

enum class KeptKind { Answer, Session, Bill };

/// A record that a daemon holds for another one.
struct KeptRecord
{
    KeptKind kind = KeptKind::Answer;
    std::string key;
    InstanceId owner;
    std::string data;
    StartId ownerStart{}; ///< Run of the owner's process; bills only.
};

/// Leave to send one request to a backend server in cold start.
struct PermitAnswer
{
    std::string permit; ///< Empty: refused.
    std::string reason;
};

} // namespace lycheearch
