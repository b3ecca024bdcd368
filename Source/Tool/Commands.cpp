#include "Tool/Commands.h"

#include <fstream>
#include <iomanip>
#include <ostream>
#include <sstream>

#include <nlohmann/json.hpp>

#include "Adapters/HttpClient.h"
#include "Base/Hash.h"
#include "State/Ledger.h"
#include "Timeline/Timeline.h"
#include "Tool/TimelineReport.h"

namespace lycheearch {

namespace {

constexpr Duration SubmitTimeout = 5s;
constexpr Duration DaemonTimeout = 2s;
constexpr std::size_t RecordsPerRead = 1000;
constexpr int HttpOk = 200;

bool readFile(const std::string &path, std::string &text, std::ostream &err)
{
    std::ifstream file(path);
    if (!file) {
        err << path << ": found no readable file, expected a manifest\n";
        return false;
    }
    std::ostringstream content;
    content << file.rdbuf();
    text = content.str();
    return true;
}

const char *stateName(VersionState state)
{
    switch (state) {
    case VersionState::Active:
        return "active";
    case VersionState::Canary:
        return "canary";
    case VersionState::Draining:
        return "draining";
    case VersionState::Withdrawn:
        return "withdrawn";
    }
    return "unknown";
}

/// One line for the quality target and for each version, operation and account, so that two
/// manifests can be compared.
std::set<std::string> manifestLines(const Manifest &manifest)
{
    std::set<std::string> lines;
    lines.insert("quality target " + std::to_string(manifest.qualityTarget));
    for (const auto &[id, model] : manifest.models) {
        for (const VersionSpec &version : model.versions) {
            lines.insert("version " + version.id.value() + " of " + id.value() + ": "
                         + stateName(version.state) + ", share " + std::to_string(version.share)
                         + ", cost " + std::to_string(version.costPerRequest.value())
                         + " per request and " + std::to_string(version.costPerToken.value())
                         + " per token");
        }
    }
    for (const auto &[id, service] : manifest.services) {
        for (const OperationSpec &operation : service.operations) {
            lines.insert("operation " + id.value() + "/" + operation.name.value() + ": "
                         + (operation.idempotent ? "idempotent" : "not idempotent") + ", cost "
                         + std::to_string(operation.cost.value()));
        }
    }
    for (const auto &[id, account] : manifest.accounts) {
        std::string line = "account " + id.value() + ":";
        for (const ModelId &model : account.models) {
            line += " " + model.value();
        }
        for (const VersionId &version : account.versions) {
            line += " " + version.value();
        }
        for (const ServiceId &service : account.services) {
            line += " " + service.value();
        }
        lines.insert(line);
    }
    return lines;
}

std::string manifestDiff(const Manifest &from, const Manifest &to)
{
    const std::set<std::string> before = manifestLines(from);
    const std::set<std::string> after = manifestLines(to);
    std::string text;
    for (const std::string &line : before) {
        text += after.contains(line) ? "" : "- " + line + "\n";
    }
    for (const std::string &line : after) {
        text += before.contains(line) ? "" : "+ " + line + "\n";
    }
    return text;
}

} // namespace

Commands::Commands(CommandContext context, LogService &log, const Clock &clock)
    : m_context(context)
    , m_log(log)
    , m_clock(clock)
    , m_client(log, clock)
{
}

ExitCode Commands::reportUnavailable(const Failure &failure)
{
    m_context.err << "lycheearch: " << failure.code.message() << ": " << failure.message << "\n";
    return ExitCode::Unavailable;
}

ExitCode Commands::validate(const std::string &path, bool json, std::ostream &out,
                            std::ostream &err)
{
    std::string text;
    if (!readFile(path, text, err)) {
        return ExitCode::BadInput;
    }
    Findings findings;
    parseManifest(text, path, findings);
    if (json) {
        nlohmann::json list = nlohmann::json::array();
        for (const Finding &finding : findings.all()) {
            list.push_back({{"place", finding.location},
                            {"found", finding.found},
                            {"expected", finding.expected}});
        }
        out << nlohmann::json{{"valid", findings.empty()}, {"findings", list}}.dump() << "\n";
    } else if (findings.empty()) {
        out << path << ": the manifest is valid.\n";
    } else {
        err << findings.text();
    }
    return findings.empty() ? ExitCode::Success : ExitCode::BadInput;
}

ExitCode Commands::publish(const std::string &path, std::int64_t base)
{
    std::string text;
    if (!readFile(path, text, m_context.err)) {
        return ExitCode::BadInput;
    }
    Findings findings;
    const Manifest manifest = parseManifest(text, path, findings);
    if (!findings.empty()) {
        m_context.err << findings.text();
        return ExitCode::BadInput;
    }
    const auto before = m_client.fetch();
    if (!before.ok()) {
        return reportUnavailable(before.failure());
    }
    ConfigRecord record;
    record.type = ConfigRecordType::Manifest;
    record.operation = OperationId(randomHex());
    record.base = base < 0 ? before.value()->manifestRevision : Revision(base);
    record.text = text;
    if (m_context.dryRun) {
        m_context.out << "Would publish a manifest based on revision " << record.base.value()
                      << ":\n"
                      << manifestDiff(*before.value()->manifest, manifest);
        return ExitCode::Success;
    }
    const ExitCode code = submit(record);
    if (code == ExitCode::Refused) {
        const auto after = m_client.fetch();
        if (after.ok()) {
            m_context.err << "Differences from the manifest in force:\n"
                          << manifestDiff(*after.value()->manifest, manifest);
        }
    }
    return code;
}

ExitCode Commands::submit(const ConfigRecord &record)
{
    const auto outcome = m_client.submit(record, SubmitTimeout);
    if (!outcome.ok()) {
        return reportUnavailable(outcome.failure());
    }
    if (m_context.json) {
        m_context.out << nlohmann::json{{"accepted", outcome.value().accepted},
                                        {"reason", outcome.value().reason},
                                        {"revision", outcome.value().revision.value()}}
                             .dump()
                      << "\n";
    } else if (outcome.value().accepted) {
        m_context.out << "Accepted as revision " << outcome.value().revision.value() << ".\n";
    } else {
        m_context.err << "Refused: " << outcome.value().reason << ".\n";
    }
    return outcome.value().accepted ? ExitCode::Success : ExitCode::Refused;
}

ExitCode Commands::submitToDaemons(const ConfigRecord &record)
{
    for (const DaemonAddress &daemon : m_context.settings.daemons) {
        const auto response = HttpClient(daemon.address, DaemonTimeout)
                                  .send({"POST", "/v1/operator/records", encodeConfigRecord(record),
                                         m_context.settings.operatorKey});
        if (response.ok() && response.value().status == HttpOk) {
            m_context.out
                << "The log service does not respond. " << daemon.instance.value()
                << " applied the change provisionally; it will be appended to the log later.\n";
            return ExitCode::Success;
        }
    }
    m_context.err << "lycheearch: neither the log service nor any daemon responds\n";
    return ExitCode::Unavailable;
}

ExitCode Commands::setOutOfService(ConfigRecordType type, const std::string &subject, bool out)
{
    ConfigRecord record;
    record.type = type;
    record.operation = OperationId(randomHex());
    record.subject = subject;
    record.out = out;
    if (m_context.dryRun) {
        m_context.out << "Would take " << subject
                      << (out ? " out of service.\n" : " back into service.\n");
        return ExitCode::Success;
    }
    const auto fetched = m_client.fetch();
    if (!fetched.ok()) {
        return submitToDaemons(record);
    }
    return submit(record);
}

ExitCode Commands::show(bool manifestOnly)
{
    const auto state = m_client.fetch();
    if (!state.ok()) {
        return reportUnavailable(state.failure());
    }
    const ConfigState &config = *state.value();
    if (manifestOnly) {
        m_context.out << config.manifestText;
        return ExitCode::Success;
    }
    if (m_context.json) {
        nlohmann::json json{{"revision", config.revision.value()},
                            {"manifest_revision", config.manifestRevision.value()},
                            {"manifest", config.manifestText}};
        m_context.out << json.dump() << "\n";
        return ExitCode::Success;
    }
    m_context.out << "revision " << config.revision.value() << ", manifest of revision "
                  << config.manifestRevision.value() << "\n";
    for (const std::string &line : manifestLines(*config.manifest)) {
        m_context.out << line << "\n";
    }
    for (const auto &[version, reason] : config.stoppedVersions) {
        m_context.out << "version " << version.value() << " was stopped: " << reason << "\n";
    }
    for (const auto &[id, mark] : config.dataCentres) {
        m_context.out << "data centre " << id.value()
                      << (mark.out ? " is out of service\n" : " is in service\n");
    }
    for (const auto &[id, mark] : config.instances) {
        m_context.out << "instance " << id.value()
                      << (mark.out ? " is out of service\n" : " is in service\n");
    }
    return ExitCode::Success;
}

ExitCode Commands::diff(const std::string &path)
{
    std::string text;
    if (!readFile(path, text, m_context.err)) {
        return ExitCode::BadInput;
    }
    Findings findings;
    const Manifest manifest = parseManifest(text, path, findings);
    const auto state = m_client.fetch();
    if (!state.ok()) {
        return reportUnavailable(state.failure());
    }
    if (!findings.empty()) {
        m_context.err << findings.text();
        return ExitCode::BadInput;
    }
    m_context.out << manifestDiff(*state.value()->manifest, manifest);
    return ExitCode::Success;
}

ExitCode Commands::status()
{
    nlohmann::json list = nlohmann::json::array();
    bool allReady = true;
    for (const DaemonAddress &daemon : m_context.settings.daemons) {
        const auto response =
            HttpClient(daemon.address, DaemonTimeout)
                .send({"GET", "/v1/operator/status", "", m_context.settings.operatorKey});
        const auto json = response.ok()
            ? nlohmann::json::parse(response.value().body, nullptr, false)
            : nlohmann::json();
        const bool answered = json.is_object() && json.contains("revision");
        allReady = allReady && answered && json.value("ready", false);
        list.push_back(answered ? json
                                : nlohmann::json{{"instance", daemon.instance.value()},
                                                 {"ready", false},
                                                 {"reachable", false}});
    }
    if (m_context.json) {
        m_context.out << list.dump() << "\n";
        return allReady ? ExitCode::Success : ExitCode::Failed;
    }
    m_context.out << std::left << std::setw(22) << "instance" << std::setw(14) << "data centre"
                  << std::setw(7) << "ready" << std::setw(10) << "revision" << std::setw(11)
                  << "in flight"
                  << "pending bills\n";
    for (const auto &item : list) {
        m_context.out << std::setw(22) << item.value("instance", "") << std::setw(14)
                      << item.value("data_centre", "?") << std::setw(7)
                      << (item.value("ready", false) ? "yes" : "no") << std::setw(10)
                      << item.value("revision", -1) << std::setw(11) << item.value("in_flight", -1)
                      << item.value("pending_bills", -1) << "\n";
    }
    return allReady ? ExitCode::Success : ExitCode::Failed;
}

ExitCode Commands::timeline(const std::string &request, const std::string &htmlPath)
{
    std::vector<std::vector<TimelineEvent>> timelines;
    for (const DaemonAddress &daemon : m_context.settings.daemons) {
        const auto response = HttpClient(daemon.address, DaemonTimeout)
                                  .send({"GET", "/v1/operator/timeline?request=" + request, "",
                                         m_context.settings.operatorKey});
        if (!response.ok() || response.value().status != HttpOk) {
            m_context.err << daemon.instance.value()
                          << " does not respond; its events are missing\n";
            continue;
        }
        timelines.push_back(decodeTimeline(response.value().body));
    }
    const std::vector<TimelineEvent> events = mergeTimelines(std::move(timelines));
    if (!htmlPath.empty()) {
        std::ofstream(htmlPath) << timelineHtml(events);
        m_context.out << "Wrote " << events.size() << " events to " << htmlPath << ".\n";
    } else {
        m_context.out << (m_context.json ? encodeTimeline(events) + "\n" : timelineText(events));
    }
    return !request.empty() && events.empty() ? ExitCode::Failed : ExitCode::Success;
}

ExitCode Commands::ledger(bool bills)
{
    Ledger ledger;
    Offset position;
    while (true) {
        const auto slice = m_log.read(Streams::Billing, position, RecordsPerRead, Duration(0));
        if (!slice.ok()) {
            return reportUnavailable(slice.failure());
        }
        if (slice.value().records.empty()) {
            break;
        }
        for (const LogRecord &record : slice.value().records) {
            ledger.add(record.data);
            position = record.offset.next();
        }
    }
    nlohmann::json json{{"copies", ledger.duplicates()}, {"malformed", ledger.malformed()}};
    json["accounts"] = nlohmann::json::object();
    for (const auto &[account, total] : ledger.totals()) {
        json["accounts"][account.value()] = {{"charges", total.charges},
                                             {"unresolved", total.unresolved},
                                             {"cost_micro", total.cost.value()},
                                             {"tokens", total.tokens.value()}};
    }
    if (bills) {
        json["bills"] = nlohmann::json::array();
        for (const auto &[key, bill] : ledger.bills()) {
            json["bills"].push_back(nlohmann::json::parse(encodeBill(bill)));
        }
    }
    if (m_context.json) {
        m_context.out << json.dump() << "\n";
        return ExitCode::Success;
    }
    for (const auto &[account, total] : ledger.totals()) {
        m_context.out << account.value() << ": " << total.charges << " charges, "
                      << total.cost.value() << " millionths of the currency, "
                      << total.tokens.value() << " tokens, " << total.unresolved << " unresolved\n";
    }
    m_context.out << "duplicate bills ignored: " << ledger.duplicates() << "\n";
    return ExitCode::Success;
}

} // namespace lycheearch
