#include "Config/Manifest.h"

#include "Base/Hash.h"
#include "Config/YamlReader.h"

namespace lycheearch {

namespace {

constexpr Range<std::int64_t> CostRange{0, 1'000'000'000};
constexpr Range<std::int64_t> LimitRange{1, 100'000};
constexpr Range<double> ShareRange{0.0, 1.0};
constexpr std::size_t Sha256HexLength = 64;

template <typename Id>
std::set<Id> idSet(const std::vector<std::string> &texts)
{
    std::set<Id> ids;
    for (const std::string &text : texts) {
        ids.insert(Id(text));
    }
    return ids;
}

VersionState versionState(const std::string &text)
{
    if (text == "canary") {
        return VersionState::Canary;
    }
    if (text == "draining") {
        return VersionState::Draining;
    }
    return text == "withdrawn" ? VersionState::Withdrawn : VersionState::Active;
}

Priority priority(const std::string &text)
{
    if (text == "interactive") {
        return Priority::Interactive;
    }
    return text == "normal" ? Priority::Normal : Priority::Deferrable;
}

VersionSpec readVersion(YamlReader &reader, const ModelId &model)
{
    VersionSpec version;
    version.model = model;
    version.id = VersionId(reader.requiredText({"id", "Name of the version, unique."}));
    version.state =
        versionState(reader.choice({"state", "What the version may be used for."},
                                   {"active", "canary", "draining", "withdrawn"}, "active"));
    version.share = reader.real(
        {"share", "Share of new work at the end of a rollout, as a fraction."}, ShareRange, 1.0);
    version.replaces = VersionId(reader.text({"replaces", "Baseline version of a canary."}, ""));
    version.costPerRequest = MicroCost(
        reader.integer({"cost_per_request", "Charge for a request, in millionths."}, CostRange, 0));
    version.costPerToken = MicroCost(reader.integer(
        {"cost_per_token", "Charge for a generated token, in millionths."}, CostRange, 0));
    version.rank = static_cast<int>(reader.integer(
        {"rank", "Relative strength as declared by the build pipeline; higher is stronger."},
        {0, 1000}, 0));
    version.replicas = static_cast<int>(reader.integer(
        {"replicas", "Engines per data centre that should have it loaded; 0: not managed."},
        {0, 10'000}, 0));
    return version;
}

void readModel(YamlReader &reader, Manifest &manifest)
{
    ModelSpec model;
    model.id = ModelId(reader.requiredText({"id", "Name that callers use for the model."}));
    model.priority = priority(reader.choice({"priority", "Scheduling priority under load."},
                                            {"interactive", "normal", "deferrable"}, "deferrable"));
    reader.each({"versions", "Versions of the model."}, [&](YamlReader &version) {
        model.versions.push_back(readVersion(version, model.id));
    });
    if (manifest.models.contains(model.id)) {
        reader.report("id", "'" + model.id.value() + "' a second time", "a unique model");
    }
    manifest.models[model.id] = std::move(model);
}

OperationSpec readOperation(YamlReader &reader)
{
    OperationSpec operation;
    operation.name = OperationName(reader.requiredText({"name", "Name of the operation."}));
    operation.idempotent = reader.flag({"idempotent", "Whether a call may be repeated."}, false);
    operation.priority =
        priority(reader.choice({"priority", "Scheduling priority under load."},
                               {"interactive", "normal", "deferrable"}, "interactive"));
    operation.cost =
        MicroCost(reader.integer({"cost", "Charge for a call, in millionths."}, CostRange, 0));
    operation.timeout = reader.milliseconds({"timeout_ms", "Timeout of a call, in milliseconds."},
                                            {1, 600'000}, 10'000);
    return operation;
}

void readService(YamlReader &reader, Manifest &manifest)
{
    ServiceSpec service;
    service.id = ServiceId(reader.requiredText({"id", "Name of the plain service."}));
    reader.each({"operations", "Operations of the service."}, [&](YamlReader &operation) {
        service.operations.push_back(readOperation(operation));
    });
    manifest.services[service.id] = std::move(service);
}

void readAccount(YamlReader &reader, Manifest &manifest)
{
    AccountSpec account;
    account.id = AccountId(reader.requiredText({"id", "Name of the client account."}));
    account.keySha256 =
        reader.requiredText({"key_sha256", "SHA-256 of the bearer key in hexadecimal."});
    if (!account.keySha256.empty() && account.keySha256.size() != Sha256HexLength) {
        reader.report("key_sha256", std::to_string(account.keySha256.size()) + " characters",
                      "64 hexadecimal digits");
    }
    account.weight = reader.real({"weight", "Fair share under load, relative to other accounts."},
                                 {0.01, 1000.0}, 1.0);
    account.models = idSet<ModelId>(reader.texts({"models", "Models the account may use."}));
    account.versions = idSet<VersionId>(reader.texts(
        {"versions", "Versions the account may use; empty: all versions of its models."}));
    account.services =
        idSet<ServiceId>(reader.texts({"services", "Plain services the account may use."}));
    const std::string withdrawn = reader.choice(
        {"withdrawn_session", "How requests of a session whose version is withdrawn are handled."},
        {"refuse", "move"}, "refuse");
    account.withdrawnSessionPolicy =
        withdrawn == "move" ? WithdrawnSessionPolicy::Move : WithdrawnSessionPolicy::Refuse;
    if (manifest.accounts.contains(account.id)) {
        reader.report("id", "'" + account.id.value() + "' a second time", "a unique account");
    }
    manifest.accounts[account.id] = std::move(account);
}

void readBackendClass(YamlReader &reader, Manifest &manifest)
{
    BackendClassSpec spec;
    spec.name = reader.requiredText({"name", "Name of the class, as in the instance list."});
    spec.coldLimit = static_cast<int>(reader.integer(
        {"cold_limit", "Concurrent requests of all daemons together, in cold start."}, LimitRange,
        1));
    spec.warmLimit = static_cast<int>(
        reader.integer({"warm_limit", "Concurrent requests when warm."}, LimitRange, 8));
    spec.versionSlots = static_cast<int>(reader.integer(
        {"version_slots", "Versions that an engine can have loaded at once."}, {1, 1000}, 4));
    spec.checksFencing = reader.flag(
        {"checks_fencing", "Whether it rejects an order with a stale fencing token."}, false);
    manifest.backendClasses[spec.name] = spec;
}

Manifest readManifest(YamlReader &reader)
{
    Manifest manifest;
    manifest.deployment = reader.requiredText({"deployment", "Name of the deployment."});
    manifest.qualityTarget =
        reader.real({"quality_target", "Lowest acceptable share of good answers, as a fraction."},
                    ShareRange, 0.9);
    manifest.explorationBudget = reader.real(
        {"exploration_budget", "Share of requests that may explore other versions, as a fraction."},
        ShareRange, 0.02);
    reader.each({"models", "Models and their versions."},
                [&](YamlReader &model) { readModel(model, manifest); });
    reader.each({"services", "Plain services."},
                [&](YamlReader &service) { readService(service, manifest); });
    reader.each({"accounts", "Client accounts."},
                [&](YamlReader &account) { readAccount(account, manifest); });
    reader.each({"backend_classes", "Concurrency limits of each class of backend servers."},
                [&](YamlReader &spec) { readBackendClass(spec, manifest); });
    return manifest;
}

void checkVersions(const Manifest &manifest, const std::string &file, Findings &findings)
{
    std::set<VersionId> seen;
    for (const auto &[id, model] : manifest.models) {
        for (const VersionSpec &version : model.versions) {
            const std::string location =
                file + " (models." + id.value() + "." + version.id.value() + ")";
            if (!seen.insert(version.id).second) {
                findings.add(location, "the version a second time", "a unique version");
            }
            const bool hasBaseline = manifest.findVersion(version.replaces) != nullptr;
            if (version.state == VersionState::Canary && !hasBaseline) {
                findings.add(location, "replaces '" + version.replaces.value() + "'",
                             "a version of this manifest to compare the canary with");
            }
        }
    }
}

void checkAccounts(const Manifest &manifest, const std::string &file, Findings &findings)
{
    for (const auto &[id, account] : manifest.accounts) {
        const std::string location = file + " (accounts." + id.value() + ")";
        for (const ModelId &model : account.models) {
            if (!manifest.models.contains(model)) {
                findings.add(location, "model '" + model.value() + "'", "a model of this manifest");
            }
        }
        for (const ServiceId &service : account.services) {
            if (!manifest.services.contains(service)) {
                findings.add(location, "service '" + service.value() + "'",
                             "a service of this manifest");
            }
        }
        for (const VersionId &version : account.versions) {
            if (manifest.findVersion(version) == nullptr) {
                findings.add(location, "version '" + version.value() + "'",
                             "a version of this manifest");
            }
        }
    }
}

} // namespace

const VersionSpec *Manifest::findVersion(const VersionId &id) const
{
    for (const auto &[modelId, model] : models) {
        for (const VersionSpec &version : model.versions) {
            if (version.id == id) {
                return &version;
            }
        }
    }
    return nullptr;
}

const OperationSpec *Manifest::findOperation(const ServiceId &service,
                                             const OperationName &name) const
{
    const auto found = services.find(service);
    if (found == services.end()) {
        return nullptr;
    }
    for (const OperationSpec &operation : found->second.operations) {
        if (operation.name == name) {
            return &operation;
        }
    }
    return nullptr;
}

const AccountSpec *Manifest::findAccountByKey(const std::string &bearerKey) const
{
    const std::string digest = sha256Hex(bearerKey);
    const AccountSpec *match = nullptr;
    for (const auto &[id, account] : accounts) {
        if (equalInConstantTime(account.keySha256, digest)) {
            match = &account;
        }
    }
    return match;
}

Manifest parseManifest(const std::string &text, const std::string &file, Findings &findings)
{
    const YAML::Node root = YamlReader::parse(text, file, findings);
    if (!findings.empty()) {
        return {};
    }
    YamlReader reader(root, file, "", findings);
    Manifest manifest = readManifest(reader);
    reader.reportUnknownKeys();
    checkVersions(manifest, file, findings);
    checkAccounts(manifest, file, findings);
    return manifest;
}

std::string manifestReference()
{
    std::string rows;
    Findings ignored;
    YamlReader reader(YAML::Node(), "", "", ignored, &rows);
    readManifest(reader);
    return "| key | type | default | meaning |\n| --- | --- | --- | --- |\n" + rows;
}

} // namespace lycheearch
