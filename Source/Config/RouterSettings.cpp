#include "Config/RouterSettings.h"

#include <fstream>
#include <sstream>

#include "Config/YamlReader.h"

namespace lycheearch {

namespace {

constexpr std::int64_t MaxDurationMs = 600'000;

Endpoint readEndpoint(YamlReader &reader, const Option &option)
{
    const std::string text = reader.requiredText(option);
    if (const auto parsed = Endpoint::parse(text)) {
        return *parsed;
    }
    if (!text.empty()) {
        reader.report(option.key, text, "IP:PORT");
    }
    return {};
}

std::optional<Endpoint> readOptionalEndpoint(YamlReader &reader, const Option &option)
{
    const std::string text = reader.text(option, "");
    const auto parsed = Endpoint::parse(text);
    if (!text.empty() && !parsed) {
        reader.report(option.key, text, "IP:PORT");
    }
    return parsed;
}

Duration readMilliseconds(YamlReader &reader, const Option &option, std::int64_t fallback)
{
    return reader.milliseconds(option, {0, MaxDurationMs}, fallback);
}

Duration readSeconds(YamlReader &reader, const Option &option, double fallback)
{
    constexpr Range<double> seconds{0, 600};
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(reader.real(option, seconds, fallback)));
}

RouterBounds readBounds(YamlReader &reader)
{
    constexpr Range<double> ratio{0, 1000};
    constexpr Range<double> count{0, 1'000'000};
    RouterBounds bounds;
    bounds.maxDrainDelay = readMilliseconds(
        reader, {"drain_ms", "Longest time until a draining backend server gets no new work"},
        2000);
    bounds.gracePeriod = readSeconds(
        reader, {"grace_s", "Seconds from the stop signal until the process is killed"}, 8);
    bounds.maxConfigDelay = readMilliseconds(
        reader, {"config_apply_ms", "Longest time until all daemons use a new configuration"},
        2000);
    bounds.retryWindow =
        readSeconds(reader, {"retry_window_s", "Window of the retry budget, in seconds"}, 10);
    bounds.retryRatio =
        reader.real({"retry_ratio", "Retries per request in the window"}, ratio, 0.2);
    bounds.retrySlack = reader.real(
        {"retry_slack", "Retries in the window beyond retry_ratio, all daemons together"}, count,
        0);
    bounds.maxUnprovenShare = reader.real(
        {"expose_share", "Largest share of the traffic for an unproven version, as a fraction"},
        ratio, 0.1);
    bounds.unprovenSlack = reader.real(
        {"expose_slack", "Requests for an unproven version beyond expose_share"}, count, 0);
    bounds.coldRateFactor = reader.real(
        {"cold_overshoot", "Factor on the request rate limit of a cold backend server"}, ratio, 1);
    bounds.coldRateSlack =
        reader.real({"cold_slack", "Requests per second beyond that limit"}, count, 0);
    return bounds;
}

HedgeSettings readHedging(YamlReader &reader)
{
    constexpr Range<double> share{0, 1};
    constexpr Range<double> seconds{1, 600};
    HedgeSettings hedging;
    hedging.maxShare =
        reader.real({"max_share",
                     "Requests of a service that may be sent to a second server because their "
                     "answer is late, as a share of all in the window, all daemons together; 0: "
                     "none"},
                    share, 0);
    hedging.window = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        reader.real({"window_s", "Window of max_share, in seconds"}, seconds, 10)));
    hedging.reserveShare = reader.real(
        {"reserve_share", "Part of the retry budget that stays for retries after failures"}, share,
        0.5);
    return hedging;
}

void readAccountTerms(YamlReader &reader, CapacitySettings &capacity)
{
    constexpr Range<double> weights{0.01, 1000};
    constexpr Range<double> caps{0.01, 1};
    const AccountId account(reader.requiredText({"account", "Name of the client account"}));
    AccountTerms terms;
    terms.weight = reader.real(
        {"weight", "Share of the account, relative to those of other accounts"}, weights, 1);
    terms.cap = reader.real({"cap",
                             "Largest part of a service's room that the account gets while others "
                             "want it, as a fraction"},
                            caps, 1);
    if (!account.empty() && !capacity.accounts.emplace(account, terms).second) {
        reader.report("account", "'" + account.value() + "' twice", "one entry for each account");
    }
}

CapacitySettings readCapacity(YamlReader &reader, std::int64_t memoryMegabytes)
{
    constexpr std::int64_t bytesPerMegabyte = 1024L * 1024;
    constexpr std::int64_t memoryDivisor = 4;
    CapacitySettings capacity;
    capacity.admission = reader.flag(
        {"admission", "Whether requests wait, or are refused at once, while they find no room"},
        false);
    capacity.longestWaitPart = reader.real(
        {"longest_wait", "Longest wait for a place, as a part of the route's latency objective"},
        {0, 1}, capacity.longestWaitPart);
    capacity.queue.requests = static_cast<std::size_t>(reader.integer(
        {"queue_requests", "Requests that wait in this instance at a time"}, {0, 100'000}, 256));
    const std::int64_t queueMegabytes =
        reader.integer({"queue_mb",
                        "Size of the bodies of waiting requests, in MiB; at most a quarter of "
                        "memory_mb"},
                       {0, 100'000}, 4);
    if (queueMegabytes > memoryMegabytes / memoryDivisor) {
        reader.report("queue_mb", std::to_string(queueMegabytes),
                      "at most a quarter of memory_mb, "
                          + std::to_string(memoryMegabytes / memoryDivisor));
    }
    capacity.queue.bytes = static_cast<std::size_t>(queueMegabytes * bytesPerMegabyte);
    reader.each({"accounts", "Terms of client accounts; others have a weight of 1 and no cap"},
                [&](YamlReader &entry) { readAccountTerms(entry, capacity); });
    return capacity;
}

RouterSettings readSettings(YamlReader &reader)
{
    RouterSettings settings;
    settings.instance = InstanceId(reader.requiredText({"instance", "Name of this instance"}));
    settings.dataCentre =
        DataCentreId(reader.requiredText({"data_centre", "Data centre of this instance"}));
    settings.listen = readEndpoint(reader, {"listen", "Address for callers"});
    settings.readinessListen =
        readEndpoint(reader, {"readiness_listen", "Address for the balancer's readiness checks"});
    settings.metricsListen = readEndpoint(reader, {"metrics_listen", "Address for metrics"});
    settings.feedListen = readEndpoint(
        reader, {"feed_listen", "Address for daemons that subscribe to the records of this one"});
    settings.relayListen = readOptionalEndpoint(
        reader,
        {"relay_listen",
         "Address for requests of daemons that don't reach the backend servers; "
         "without it, this daemon takes none"});
    settings.store = readEndpoint(reader, {"store", "Address of the log store"});
    settings.memoryMegabytes =
        reader.integer({"memory_mb", "Memory limit of the process, in MiB"}, {16, 1'000'000}, 128);
    settings.maxDescriptors = reader.integer(
        {"max_descriptors",
         "Limit of open descriptors; a lower limit of the process (RLIMIT_NOFILE) goes before it"},
        {64, 1'000'000}, 1'000'000);
    settings.routineLogLines = static_cast<int>(reader.integer(
        {"routine_log_lines", "Log lines per second for successful requests"}, {0, 100'000}, 20));
    settings.terms = reader.text({"terms",
                                  "Terms of the deployment in the platform's words, separated by "
                                  "commas; terms that are not known are ignored"},
                                 "");
    reader.section({"bounds", "Limits that apply to all daemons together"},
                   [&](YamlReader &section) { settings.bounds = readBounds(section); });
    reader.section({"hedging", "Late requests that are sent to a second server"},
                   [&](YamlReader &section) { settings.hedging = readHedging(section); });
    reader.section(
        {"capacity", "How callers share scarce capacity, where the terms say that it is"},
        [&](YamlReader &section) {
            settings.capacity = readCapacity(section, settings.memoryMegabytes);
        });
    reader.reportUnknownKeys();
    return settings;
}

} // namespace

RouterSettings loadRouterSettings(const std::string &path, Findings &findings)
{
    std::ifstream file(path);
    if (!file) {
        findings.add(path, "an unreadable file", "a settings file in YAML");
        return {};
    }
    std::ostringstream text;
    text << file.rdbuf();
    const YAML::Node document = YamlReader::parse(text.str(), path, findings);
    YamlReader reader(document, path, "", findings);
    return readSettings(reader);
}

std::string routerSettingsReference()
{
    std::string reference;
    Findings ignored;
    YamlReader reader(YAML::Node(YAML::NodeType::Map), "", "", ignored, &reference);
    readSettings(reader);
    return reference;
}

} // namespace lycheearch
