#pragma once

#include <string>
#include <variant>
#include <vector>

#include "Base/Endpoint.h"
#include "Fleet/RoutingConfig.h"

namespace lycheearch {

/// What a backend server says of itself in the registry.
struct BackendEntry
{
    InstanceId id;
    ServiceId service;
    Endpoint address;
    DataCentreId dataCentre;
    VersionId version;
    int slots = 1;
    bool draining = false;
    Duration coldFor{}; ///< How much longer it stays cold.
    std::int64_t sequence = 0; ///< Grows with each report of one start.
    std::int64_t startedAt = 0; ///< Unix milliseconds of its start; 0 if not told.
    std::vector<std::string> models;
};

/// The operator published a whole configuration.
struct ConfigPublished
{
    RoutingConfig config;
};

/// The operator wants a service moved to another version.
struct RolloutOrdered
{
    ServiceId service;
    VersionId target;
    Duration finishWithin{};

    bool operator==(const RolloutOrdered &) const = default;
};

struct RolloutWithdrawn
{
    ServiceId service;
};

/// How far a rollout is, for the operator.
enum class RolloutState { Running, Complete, RolledBack };

/// A daemon reported the state of a rollout.
struct RolloutReported
{
    ServiceId service;
    VersionId target;
    RolloutState state = RolloutState::Running;

    bool operator==(const RolloutReported &) const = default;
};

/// The operator takes a data centre out, or brings it back.
struct EvacuationChanged
{
    DataCentreId dataCentre;
    bool evacuated = false;
};

struct BackendReported
{
    BackendEntry report;
};

struct BackendRemoved
{
    InstanceId id;
};

/// A daemon that takes part.
struct MemberRegistered
{
    InstanceId instance;
    DataCentreId dataCentre;
    Endpoint feed; ///< Where other daemons can follow what it reads.
    std::int64_t registeredAt = 0; ///< Unix milliseconds by the clock of its machine.
};

/// Outcomes that one daemon saw from one version of a service.
struct VersionCounts
{
    std::int64_t good = 0;
    std::int64_t bad = 0;
    std::int64_t timed = 0; ///< Good ones whose pace is known.
    double latencySeconds = 0; ///< Sum over those: between two events, or until the answer.
    std::int64_t inFlight = 0;

    bool operator==(const VersionCounts &) const = default;
};

/// Outcomes that one daemon saw during a rollout since its start.
struct RolloutEvidence
{
    InstanceId daemon;
    ServiceId service;
    VersionId target;
    int stage = 0; ///< That the daemon follows.
    VersionCounts targetCounts;
    VersionCounts otherCounts;

    bool operator==(const RolloutEvidence &) const = default;
};

/// How long ago a daemon first knew of a rollout's order, which bears no time of its own.
struct RolloutOrderAge
{
    ServiceId service;
    VersionId target;
    Duration age{};

    bool operator==(const RolloutOrderAge &) const = default;
};

/// Evidence that one daemon collected from others in its data centre.
struct EvidenceCollected
{
    InstanceId collector;
    std::vector<RolloutEvidence> evidence;
    std::vector<RolloutOrderAge> orderAges; ///< When the record was written.
};

/// How far a rollout has come, as its director decided.
struct RolloutStage
{
    ServiceId service;
    VersionId target;
    int stage = 0; ///< Index into the steps of traffic; grows only.
    double firstShare = 0; ///< Of the sessions, in the first step.
    bool condemned = false; ///< The target is bad: no new work for it, for good.
    bool complete = false; ///< The other versions get no new work, for good.

    bool operator==(const RolloutStage &) const = default;
};

/// A record that names nothing usable. It harms no other record.
struct UnreadableRecord
{
    std::string key;
    std::string reason;
};

using FleetRecord =
    std::variant<ConfigPublished, RolloutOrdered, RolloutWithdrawn, RolloutReported,
                 EvacuationChanged, BackendReported, BackendRemoved, MemberRegistered,
                 EvidenceCollected, RolloutStage, UnreadableRecord>;

/// A record as the store keeps it. An empty value drops the key.
struct RawRecord
{
    Offset offset;
    std::string key;
    std::string value;
};

/// A decoded record with its place in its topic.
struct StoredRecord
{
    Offset offset;
    FleetRecord record;
};

} // namespace lycheearch
