#pragma once

#include <string>
#include <variant>
#include <vector>

#include "Base/Endpoint.h"
#include "Fleet/RoutingConfig.h"

namespace lycheearch {

/// What a backend server says of itself in the registry.
struct BackendReport
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
    BackendReport report;
};

struct BackendRemoved
{
    InstanceId id;
};

/// Outcomes that one daemon saw from one version of a service during a rollout, since its start.
struct VersionEvidence
{
    std::string daemon; ///< One start of a daemon.
    ServiceId service;
    VersionId target;
    std::int64_t targetGood = 0;
    std::int64_t targetBad = 0;
    std::int64_t otherGood = 0;
    std::int64_t otherBad = 0;
    bool condemned = false; ///< The daemon has found the target bad.

    bool operator==(const VersionEvidence &) const = default;
};

/// A record that names nothing usable. It harms no other record.
struct UnreadableRecord
{
    std::string key;
    std::string reason;
};

using FleetRecord
    = std::variant<ConfigPublished, RolloutOrdered, RolloutWithdrawn, RolloutReported,
                   EvacuationChanged, BackendReported, BackendRemoved, VersionEvidence,
                   UnreadableRecord>;

/// A record with its place in its topic.
struct StoredRecord
{
    Offset offset;
    FleetRecord record;
};

} // namespace lycheearch
