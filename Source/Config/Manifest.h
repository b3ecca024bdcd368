#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "Base/Findings.h"
#include "Base/Ids.h"
#include "Base/Time.h"

namespace lycheearch {

/// What a version may be used for.
enum class VersionState {
    Active, ///< Takes all work.
    Canary, ///< In roll-out: takes a rising share of new work.
    Draining, ///< Keeps its sessions, takes no new ones.
    Withdrawn, ///< Takes no new work at all.
};

/// One version of a model, with what it costs and what is expected of it.
struct VersionSpec
{
    VersionId id;
    ModelId model;
    VersionState state = VersionState::Active;
    double share = 1.0; ///< Share of new work at the end of a roll-out, 0 to 1.
    VersionId replaces; ///< The version that a canary is compared with.
    MicroCost costPerRequest;
    MicroCost costPerToken;
    int replicas = 0; ///< Engines in each data centre that shall have it loaded; 0: not managed.
    int rank = 0; ///< Strength order that the build pipeline claims; higher is stronger.
};

/// Order of service under load; lower values are served first.
enum class Priority { Interactive = 0, Normal = 1, Deferrable = 2 };

/// One model family that callers name.
struct ModelSpec
{
    ModelId id;
    Priority priority = Priority::Deferrable;
    std::vector<VersionSpec> versions;
};

/// One operation of a plain service.
struct OperationSpec
{
    OperationName name;
    bool idempotent = false;
    Priority priority = Priority::Interactive;
    MicroCost cost;
    Duration timeout = 10s;
};

struct ServiceSpec
{
    ServiceId id;
    std::vector<OperationSpec> operations;
};

/// What happens to a session whose version is withdrawn.
enum class WithdrawnSession { Refuse, Move };

/// One client account and what it may use.
struct AccountSpec
{
    AccountId id;
    std::string keySha256; ///< SHA-256 of the bearer key in hexadecimal.
    double weight = 1.0; ///< Share under load, relative to other accounts.
    std::set<ModelId> models;
    std::set<VersionId> versions; ///< Empty: every version of its models.
    std::set<ServiceId> services;
    WithdrawnSession withdrawnSession = WithdrawnSession::Refuse;
};

/// How much load a class of backend servers bears.
struct BackendClassSpec
{
    std::string name;
    int coldLimit = 1; ///< Requests at once, from all daemons together, in cold start.
    int warmLimit = 8; ///< Requests at once when warm.
    int versionSlots = 4; ///< Versions that an engine can have loaded at once.
    bool checksFencing = false; ///< Whether it refuses an order with an old fencing number.
};

/// The desired state of the fleet, as the operator's build pipeline wrote it.
struct Manifest
{
    std::string deployment;
    double qualityTarget = 0.9; ///< Lowest share of good answers, 0 to 1.
    double explorationBudget = 0.02; ///< Share of requests that may try a version for evidence.
    std::map<ModelId, ModelSpec> models;
    std::map<ServiceId, ServiceSpec> services;
    std::map<AccountId, AccountSpec> accounts;
    std::map<std::string, BackendClassSpec> backendClasses;

    const VersionSpec *findVersion(const VersionId &id) const;
    const OperationSpec *findOperation(const ServiceId &service, const OperationName &name) const;
    const AccountSpec *findAccountByKey(const std::string &bearerKey) const;
};

/// Reads and checks a manifest in YAML or JSON. All faults go to \p findings.
/// \p file names the document in findings. The result is only valid without findings.
Manifest parseManifest(const std::string &text, const std::string &file, Findings &findings);

/// The manifest reference page, made from the declarations that the checks use.
std::string manifestReference();

} // namespace lycheearch
