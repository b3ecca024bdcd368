#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Base/Endpoint.h"
#include "Fleet/RoutingConfig.h"
#include "Routing/CrashEvidence.h"
#include "Routing/DelayHistogram.h"

namespace lycheearch {

/// Registry entry that a backend server writes about itself.
struct BackendEntry
{
    InstanceId id;
    ServiceId service;
    Endpoint address;
    DataCentreId dataCentre;
    VersionId version;
    int slots = 1;
    bool draining = false;
    Duration coldFor{}; ///< Remaining cold period.
    std::int64_t sequence = 0; ///< Increases with each report; restarts with the server.
    std::int64_t startedAt = 0; ///< Start time in Unix milliseconds; 0 if not reported.
    std::vector<std::string> models;
};

/// The operator published a complete configuration.
struct ConfigPublished
{
    std::shared_ptr<const RoutingConfig> config;
};

/// The operator published a configuration that is not newer than the one in force. Its routes were
/// not decoded.
struct ConfigOutdated
{
    ConfigVersion version;
};

/// The operator ordered a rollout of a service to another version.
struct RolloutOrdered
{
    ServiceId service;
    VersionId target;
    Duration finishWithin{};

    bool operator==(const RolloutOrdered &) const = default;
};

/// The operator withdrew the rollout order of a service.
struct RolloutWithdrawn
{
    ServiceId service;
};

/// State of a rollout as reported to the operator.
enum class RolloutState { Running, Complete, RolledBack };

/// A daemon reported the state of a rollout.
struct RolloutReported
{
    ServiceId service;
    VersionId target;
    RolloutState state = RolloutState::Running;

    bool operator==(const RolloutReported &) const = default;
};

/// The operator evacuated a data centre or ended its evacuation.
struct EvacuationChanged
{
    DataCentreId dataCentre;
    bool evacuated = false;
};

/// A backend server reported its state.
struct BackendReported
{
    BackendEntry report;
};

/// The registry entry of a backend server was deleted.
struct BackendRemoved
{
    InstanceId id;
};

/// A daemon registered as a member of the fleet.
struct MemberRegistered
{
    InstanceId instance;
    DataCentreId dataCentre;
    Endpoint feed; ///< Address of its feed server.
    std::int64_t registeredAt = 0; ///< Unix milliseconds on the clock of its machine.
    /// Address at which it takes requests from daemons that don't reach the backend servers.
    std::optional<Endpoint> relay;
};

/// Request outcomes that one daemon counted for one version of a service.
struct VersionCounts
{
    std::int64_t good = 0;
    std::int64_t bad = 0;
    std::int64_t latencySamples = 0; ///< Good outcomes with a measured latency.
    /// Sums of the natural logarithm of these latencies in seconds, and of its square. A latency is
    /// the mean time between two events of a stream, or the time to the answer of other requests.
    double logLatencySum = 0;
    double logLatencySquares = 0;
    std::int64_t inFlight = 0; ///< Requests without an outcome so far.
    std::int64_t sent = 0; ///< All requests, retries and cancelled ones included.
    DelayHistogram answerDelays; ///< From sending a request until its answer begins.

    /// Requests with an outcome that says whether the version works.
    std::int64_t answers() const { return good + bad; }

    bool operator==(const VersionCounts &) const = default;
};

/// Request outcomes that one daemon counted for a service since it read a rollout order of it.
struct RolloutEvidence
{
    InstanceId daemon;
    ServiceId service;
    VersionId target;
    int stage = 0; ///< Stage that the daemon applied.
    VersionCounts targetCounts;
    VersionCounts otherCounts; ///< All versions but the target.
    /// From the order until the daemon began to count. std::nullopt from older daemons, whose
    /// counts go back to their start.
    std::optional<Duration> countedAfter;

    /// Requests to all versions.
    std::int64_t sent() const { return targetCounts.sent + otherCounts.sent; }

    bool operator==(const RolloutEvidence &) const = default;
};

/// Time since a daemon first read a rollout order. The order itself has no timestamp.
struct RolloutOrderAge
{
    ServiceId service;
    VersionId target;
    Duration age{};

    bool operator==(const RolloutOrderAge &) const = default;
};

/// Rollout evidence that one daemon collected from the daemons of its data centre, itself included.
struct EvidenceCollected
{
    InstanceId collector;
    std::vector<RolloutEvidence> evidence;
    std::vector<RolloutOrderAge> orderAges; ///< At the time the record was written.
};

/// Progress of a rollout as decided by the RolloutController.
struct RolloutStage
{
    ServiceId service;
    VersionId target;
    int stage = 0; ///< Index into the traffic shares; never decreases for a target.
    double firstShare = 0; ///< Share of the sessions in the first stage, from 0 to 1.
    bool condemned = false; ///< Final: the target is bad and gets no new work.
    bool complete = false; ///< Final: the other versions get no new work.
    /// Largest share of the sessions before the last stage, from 0 to 1; 0 if an older daemon
    /// wrote the record.
    double canaryShare = 0;

    bool operator==(const RolloutStage &) const = default;
};

/// A part of prompts crashes servers; requests with it are refused.
struct PromptPartCondemned
{
    SuspectKey key;
    std::int64_t condemnedAt = 0; ///< Unix milliseconds on the clock of the daemon that wrote it.

    bool operator==(const PromptPartCondemned &) const = default;
};

/// A record that can't be decoded. Other records are applied regardless.
struct UnreadableRecord
{
    std::string key;
    std::string reason;
};

using FleetRecord =
    std::variant<ConfigPublished, ConfigOutdated, RolloutOrdered, RolloutWithdrawn, RolloutReported,
                 EvacuationChanged, BackendReported, BackendRemoved, MemberRegistered,
                 EvidenceCollected, RolloutStage, PromptPartCondemned, UnreadableRecord>;

/// A record in the encoding of the store. An empty value deletes the key.
struct RawRecord
{
    Offset offset;
    std::string key;
    std::string value;
};

/// A decoded record and its offset in its topic.
struct StoredRecord
{
    Offset offset;
    FleetRecord record;
};

} // namespace lycheearch
