#include "Config/Settings.h"

#include <fstream>
#include <optional>
#include <sstream>

#include "Config/YamlReader.h"

namespace lycheearch {

namespace {

constexpr Range<std::int64_t> PeriodRange{10, 60'000};
constexpr Range<std::int64_t> TimeoutRange{1, 600'000};
constexpr Range<std::int64_t> CountRange{1, 10'000'000};
constexpr std::size_t MinKeyLength = 16;

Endpoint readEndpoint(YamlReader &reader, const Option &option, bool required)
{
    const std::string text = required ? reader.requiredText(option) : reader.text(option, "");
    if (text.empty()) {
        return {};
    }
    const std::optional<Endpoint> endpoint = Endpoint::parse(text);
    if (!endpoint) {
        reader.report(option.key, "'" + text + "'",
                      "an IP address and a port, such as 127.0.0.1:80");
        return {};
    }
    return *endpoint;
}

void readPlatform(YamlReader &reader, PlatformSettings &platform)
{
    platform.log = readEndpoint(reader, {"log", "Append-only log service."}, true);
    platform.instanceList = readEndpoint(reader, {"instance_list", "Instance list service."}, true);
    platform.rating = readEndpoint(reader, {"rating", "Rating service; empty: none."}, false);
    platform.weightStore =
        readEndpoint(reader, {"weight_store", "Weight store; empty: none."}, false);
    platform.timeout = reader.milliseconds(
        {"timeout_ms", "Timeout of a call to a platform service."}, TimeoutRange, 2'000);
}

void readTiming(YamlReader &reader, TimingSettings &timing)
{
    timing.heartbeatPeriod =
        reader.milliseconds({"exchange_ms", "Time between heartbeats to peers."}, PeriodRange, 500);
    timing.suspicionTimeout = reader.milliseconds(
        {"suspicion_ms", "Silence of a peer until it is suspected to have failed."}, TimeoutRange,
        2'500);
    timing.pollPeriod = reader.milliseconds(
        {"poll_ms", "Time between load reports of a backend server."}, PeriodRange, 1'000);
    timing.instanceListPeriod = reader.milliseconds(
        {"instance_list_ms", "Time between reads of the instance list."}, PeriodRange, 2'000);
    timing.peerTimeout =
        reader.milliseconds({"peer_timeout_ms", "Timeout of a call to a peer."}, TimeoutRange, 400);
    timing.claimLogTimeout = reader.milliseconds(
        {"claim_log_ms", "Timeout for a claim to be durable in the log."}, TimeoutRange, 1'500);
    timing.firstByteTimeout = reader.milliseconds(
        {"first_byte_ms", "Timeout for the first byte of a backend server's response."},
        TimeoutRange, 5'000);
    timing.streamIdleTimeout = reader.milliseconds(
        {"silence_ms", "Silence of a stream until it is resumed on another backend server."},
        TimeoutRange, 2'000);
    timing.balancerLag = reader.milliseconds(
        {"balancer_lag_ms", "Time from not ready until new requests are refused."}, TimeoutRange,
        500);
    timing.drainTimeout =
        reader.milliseconds({"drain_ms", "Timeout of a graceful shutdown."}, TimeoutRange, 60'000);
    timing.defaultDeadline = reader.milliseconds(
        {"deadline_ms", "Deadline of a request that states none."}, TimeoutRange, 30'000);
    timing.gatekeeperHoldOff = reader.milliseconds(
        {"gatekeeper_hold_off_ms", "Time until a new gatekeeper grants its first permit."},
        TimeoutRange, 4'000);
    timing.keptAnswerLifetime =
        reader.milliseconds({"kept_answer_ms", "How long a finished answer can be replayed."},
                            {1, 86'400'000}, 600'000);
}

void readLimits(YamlReader &reader, LimitSettings &limits)
{
    limits.maxBodyBytes = static_cast<std::size_t>(
        reader.integer({"max_body_bytes", "Largest request body."}, CountRange, 1'000'000));
    limits.callerThreads = static_cast<int>(
        reader.integer({"caller_threads", "Concurrent requests."}, {1, 4096}, 256));
    limits.waitingRequests = static_cast<int>(
        reader.integer({"waiting_requests", "Requests that may be queued for a backend server."},
                       CountRange, 200));
    limits.keptRecords = static_cast<int>(reader.integer(
        {"kept_records", "Answers, sessions and bills held for peers."}, CountRange, 50'000));
    limits.timelineEvents = static_cast<int>(
        reader.integer({"timeline_events", "Events held for the timeline."}, CountRange, 20'000));
}

void readPeers(YamlReader &reader, Settings &settings)
{
    reader.each(
        {"peer_addresses", "Addresses of peers; they take precedence over the instance list."},
        [&](YamlReader &peer) {
            const std::string id = peer.requiredText({"instance", "Peer instance."});
            settings.peerAddresses[InstanceId(id)] =
                readEndpoint(peer, {"address", "Address of its peer port."}, true);
        });
}

std::optional<std::string> readFile(const std::string &path, Findings &findings)
{
    std::ifstream file(path);
    if (!file) {
        findings.add(path, "an unreadable file", "a readable file");
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string readKey(YamlReader &reader, const Option &option)
{
    std::string key = reader.requiredText(option);
    if (!key.empty() && key.size() < MinKeyLength) {
        reader.report(option.key, std::to_string(key.size()) + " characters",
                      "at least " + std::to_string(MinKeyLength) + " characters");
    }
    return key;
}

Secrets loadSecrets(const std::string &path, Findings &findings)
{
    Secrets secrets;
    const std::optional<std::string> text = readFile(path, findings);
    if (!text) {
        return secrets;
    }
    YamlReader reader(YamlReader::parse(*text, path, findings), path, "", findings);
    secrets.peerKey = readKey(reader, {"peer_key", "Authenticates daemons to each other."});
    secrets.sessionKey = readKey(reader, {"session_key", "Signs session tokens."});
    secrets.operatorKey =
        readKey(reader, {"operator_key", "Authorizes requests to the operator paths."});
    reader.reportUnknownKeys();
    return secrets;
}

Settings readSettings(YamlReader &reader, std::string &secretsPath)
{
    Settings settings;
    settings.instance = InstanceId(reader.requiredText({"instance", "Name of this instance."}));
    settings.dataCentre =
        DataCentreId(reader.requiredText({"data_centre", "Data centre of this instance."}));
    settings.listen = readEndpoint(reader, {"listen", "Address for callers."}, true);
    settings.peerListen = readEndpoint(reader, {"peer_listen", "Address for peers."}, true);
    secretsPath = reader.requiredText({"secrets_file", "File with the shared keys."});
    settings.logLevel = reader.choice({"log_level", "Lowest level that is logged."},
                                      {"debug", "info", "warning", "error"}, "info");
    reader.section({"platform", "Services of the platform."}, [&](YamlReader &sectionReader) {
        readPlatform(sectionReader, settings.platform);
    });
    reader.section({"timing", "Periods and timeouts."},
                   [&](YamlReader &sectionReader) { readTiming(sectionReader, settings.timing); });
    reader.section({"limits", "Resource limits of the daemon."},
                   [&](YamlReader &sectionReader) { readLimits(sectionReader, settings.limits); });
    readPeers(reader, settings);
    return settings;
}

} // namespace

Settings loadSettings(const std::string &path, Findings &findings)
{
    const std::optional<std::string> text = readFile(path, findings);
    if (!text) {
        return {};
    }
    const YAML::Node root = YamlReader::parse(*text, path, findings);
    if (!findings.empty()) {
        return {};
    }
    YamlReader reader(root, path, "", findings);
    std::string secretsPath;
    Settings settings = readSettings(reader, secretsPath);
    reader.reportUnknownKeys();
    if (!secretsPath.empty()) {
        settings.secrets = loadSecrets(secretsPath, findings);
    }
    return settings;
}

std::string settingsReference()
{
    std::string rows;
    Findings ignored;
    std::string secretsPath;
    YamlReader reader(YAML::Node(), "", "", ignored, &rows);
    readSettings(reader, secretsPath);
    return "| key | type | default | meaning |\n| --- | --- | --- | --- |\n" + rows;
}

} // namespace lycheearch
