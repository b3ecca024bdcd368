#include "Trial.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include "Adapters/HttpLogService.h"

namespace lycheearch::trial {

namespace {

constexpr Duration ReadyTimeout = 30s;
constexpr Duration ToolTimeout = 30s;
constexpr Duration StopTimeout = 60s;
constexpr Duration RevisionPollInterval = 20ms;
constexpr Duration StatusPollInterval = 100ms;
constexpr Duration ApplyTimeout = 20s;
constexpr Duration LogTimeout = 5s;
constexpr std::size_t RecordsPerRead = 2000;
constexpr std::size_t MaxViolationsShown = 5;
constexpr std::int64_t MaxExposedRequests = 50;

std::string readText(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

double percentile(std::vector<double> &sorted, double share)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
}

} // namespace

Trial::Trial(const TrialPaths &paths, FleetOptions options)
    : Trial(paths, std::move(options), loadFleetPlan(paths.deployment + "/fleet.yaml"))
{
}

Trial::Trial(TrialPaths paths, FleetOptions options, FleetPlan plan)
    : m_paths(std::move(paths))
{
    std::filesystem::remove_all(m_paths.work);
    std::filesystem::create_directories(m_paths.work);
    m_manifestText = readText(m_paths.deployment + "/manifest.yaml");
    Findings findings;
    m_manifest = parseManifest(m_manifestText, "manifest.yaml", findings);
    if (!findings.empty()) {
        throw std::runtime_error(findings.text());
    }
    options.directory = m_paths.work;
    m_fleet = std::make_unique<Fleet>(std::move(plan),
                                      Programs{m_paths.programs + "/Source/lycheearchd",
                                               m_paths.programs + "/Utilities/lycheearch-standin"},
                                      options);
    m_evidence.manifest = &m_manifest;
}

Trial::~Trial()
{
    m_stopping = true;
    if (m_pollThread.joinable()) {
        m_pollThread.join();
    }
    m_balancer.reset();
    m_fleet->stopAll(false);
}

std::int64_t Trial::wallMicroseconds()
{
    return SystemClock().wallTime().time_since_epoch().count();
}

void Trial::startUnmonitored()
{
    m_fleet->startStandIn();
    m_fleet->startDaemons();
    publish(m_manifestText);
    m_evidence.publishDurations.clear();
    m_fleet->waitReady(ReadyTimeout);
}

void Trial::start()
{
    startUnmonitored();
    m_balancer = std::make_unique<Balancer>(*m_fleet);
    m_pollThread = std::thread([this] { pollRevisions(); });
}

int Trial::runTool(const std::vector<std::string> &arguments)
{
    std::vector<std::string> command{m_paths.programs + "/Source/lycheearch", "--config",
                                     m_fleet->toolSettingsPath()};
    command.insert(command.end(), arguments.begin(), arguments.end());
    ChildProcess tool(command, m_paths.work + "/tool.log");
    return tool.wait(ToolTimeout);
}

Duration Trial::publish(const std::string &text)
{
    const std::string path =
        m_paths.work + "/manifest-" + std::to_string(m_publishCount++) + ".yaml";
    std::ofstream(path) << text;
    const TimePoint start = SystemClock().now();
    if (runTool({"publish", path}) != 0) {
        throw std::runtime_error("publishing the manifest failed; see tool.log");
    }
    HttpLogService log(m_fleet->platform(), LogTimeout);
    // The revision of a daemon is the offset after the last record that it has applied. The end of
    // the stream is therefore the newest revision.
    const auto slice = log.read(Streams::Configuration, Offset(0), 1, Duration(0));
    const std::int64_t revision = slice.ok() ? slice.value().nextOffset.value() : 0;
    if (!waitRevision(revision, ApplyTimeout)) {
        throw std::runtime_error("not every daemon applied the manifest in time");
    }
    const Duration time = SystemClock().now() - start;
    m_evidence.publishDurations.push_back(time);
    return time;
}

bool Trial::waitRevision(std::int64_t revision, Duration limit)
{
    const TimePoint end = SystemClock().now() + limit;
    while (SystemClock().now() < end) {
        bool everywhere = true;
        for (FleetDaemon &daemon : m_fleet->daemons()) {
            if (!daemon.process || !daemon.process->running()) {
                continue;
            }
            const auto status = m_fleet->status(daemon);
            everywhere = everywhere && status.is_object()
                && status.value("revision", std::int64_t{0}) >= revision;
        }
        if (everywhere) {
            return true;
        }
        std::this_thread::sleep_for(RevisionPollInterval);
    }
    return false;
}

bool Trial::waitReplicas(const std::string &version, int count, Duration limit)
{
    const TimePoint end = SystemClock().now() + limit;
    while (SystemClock().now() < end) {
        std::map<std::string, int> replicas;
        const auto status = m_fleet->status(m_fleet->daemons().back());
        for (const auto &backend : status.value("backends", nlohmann::json::array())) {
            for (const auto &loaded : backend.at("versions")) {
                replicas[backend.at("data_centre").get<std::string>()] += loaded == version ? 1 : 0;
            }
        }
        bool everywhere = !replicas.empty();
        for (const auto &[dataCentre, number] : replicas) {
            everywhere = everywhere && number >= count;
        }
        if (everywhere) {
            return true;
        }
        std::this_thread::sleep_for(StatusPollInterval);
    }
    return false;
}

void Trial::pollRevisions()
{
    std::map<std::string, RevisionTrace> traces;
    while (!m_stopping) {
        for (const FleetDaemon &daemon : m_fleet->daemons()) {
            const auto status = m_fleet->status(daemon);
            if (!status.is_object() || !status.contains("revision")) {
                continue;
            }
            // A restarted daemon reports revision 0 until it has read the log. This must not count
            // as going back to an older revision.
            const auto revision = status["revision"].get<std::int64_t>();
            if (revision > 0) {
                traces[daemon.id].daemon = daemon.id;
                traces[daemon.id].revisions.push_back(revision);
            }
        }
        {
            std::lock_guard lock(m_mutex);
            m_evidence.revisions.clear();
            for (const auto &[id, trace] : traces) {
                m_evidence.revisions.push_back(trace);
            }
        }
        std::this_thread::sleep_for(StatusPollInterval);
    }
}

void Trial::takeDataCentreOut(const std::string &dataCentre)
{
    m_evidence.dataCentresOutOfService.push_back({dataCentre, wallMicroseconds()});
    if (runTool({"data-centre", "out", dataCentre}) != 0) {
        throw std::runtime_error("taking " + dataCentre + " out of service failed; see tool.log");
    }
}

void Trial::putDataCentreBack(const std::string &dataCentre)
{
    for (ExclusionPeriod &period : m_evidence.dataCentresOutOfService) {
        if (period.subject == dataCentre) {
            period.until = std::min(period.until, wallMicroseconds());
        }
    }
    if (runTool({"data-centre", "in", dataCentre}) != 0) {
        throw std::runtime_error("putting " + dataCentre
                                 + " back into service failed; see tool.log");
    }
}

void Trial::stopGracefully(const std::string &id)
{
    FleetDaemon &daemon = m_fleet->daemon(id);
    GracefulStop stop{id, wallMicroseconds()};
    daemon.process->signal(SIGTERM);
    const int code = daemon.process->wait(StopTimeout);
    stop.until = wallMicroseconds();
    m_evidence.gracefulStops.push_back(stop);
    if (code != 0) {
        throw std::runtime_error(id + " exited with code " + std::to_string(code));
    }
}

void Trial::killDaemon(const std::string &id)
{
    FleetDaemon &daemon = m_fleet->daemon(id);
    daemon.process->signal(SIGKILL);
    daemon.process->wait(StopTimeout);
}

void Trial::restart(const std::string &id)
{
    m_fleet->startDaemon(m_fleet->daemon(id));
}

void Trial::versionWithdrawn(const std::string &version)
{
    m_evidence.withdrawnVersions.push_back({version, wallMicroseconds()});
}

void Trial::markBackendLeaving(const std::string &backend)
{
    m_evidence.leavingBackends.push_back({backend, wallMicroseconds()});
    m_fleet->control({{"action", "leaving"}, {"target", backend}, {"value", true}});
}

void Trial::makeAnswersBad(const std::string &version)
{
    m_degradationPeriods.push_back({version, wallMicroseconds()});
    m_fleet->control({{"action", "quality"}, {"target", version}, {"value", 0.0}});
}

void Trial::expectLimitedExposure()
{
    // Assumes that the caller received the answer of the last run of a request.
    std::map<std::string, std::string> lastVersion;
    std::map<std::string, std::int64_t> lastStart;
    for (const auto &entry : m_evidence.journal) {
        const auto request = entry.at("request_id").get<std::string>();
        lastVersion[request] = entry.at("subject").get<std::string>();
        lastStart[request] = entry.at("at_us").get<std::int64_t>();
    }
    for (const ExclusionPeriod &bad : m_degradationPeriods) {
        std::int64_t exposed = 0;
        for (const auto &[request, version] : lastVersion) {
            exposed += version == bad.subject && lastStart[request] >= bad.from ? 1 : 0;
        }
        std::cout << bad.subject << " gave only bad answers; requests exposed: " << exposed << "\n";
        expect(exposed <= MaxExposedRequests,
               std::to_string(exposed) + " requests were exposed to bad answers of " + bad.subject);
    }
}

void Trial::expect(bool held, const std::string &failureMessage)
{
    ++m_expectationCount;
    if (!held) {
        m_failedExpectations.push_back(failureMessage);
    }
}

void Trial::writeFile(const std::string &path, const std::string &text) const
{
    std::ofstream(path) << text;
}

void Trial::load(const WorkloadSpec &spec)
{
    Workload workload(m_manifest, spec);
    std::vector<RequestRecord> records = workload.run(*m_balancer);
    m_evidence.records.insert(m_evidence.records.end(), records.begin(), records.end());
}

bool Trial::waitUntilBilled(Duration limit)
{
    const TimePoint end = SystemClock().now() + limit;
    while (SystemClock().now() < end) {
        std::int64_t waiting = 0;
        for (FleetDaemon &daemon : m_fleet->daemons()) {
            if (daemon.process && daemon.process->running()) {
                const auto status = m_fleet->status(daemon);
                waiting += status.is_object()
                    ? status.value("pending_bills", 1) + status.value("kept_bills", 0)
                    : 1;
            }
        }
        if (waiting == 0) {
            return true;
        }
        std::this_thread::sleep_for(StatusPollInterval);
    }
    return false;
}

void Trial::collectEvidence()
{
    m_evidence.journal = m_fleet->journal();
    m_evidence.ledger = Ledger();
    HttpLogService log(m_fleet->platform(), LogTimeout);
    Offset position;
    while (true) {
        const auto slice = log.read(Streams::Billing, position, RecordsPerRead, Duration(0));
        if (!slice.ok() || slice.value().records.empty()) {
            break;
        }
        for (const LogRecord &record : slice.value().records) {
            m_evidence.ledger.add(record.data);
            position = record.offset.next();
        }
    }
}

bool printVerdicts(const std::vector<Verdict> &verdicts, std::ostream &out)
{
    bool held = true;
    out << std::left << std::setw(72) << "promise" << std::right << std::setw(9) << "examined"
        << std::setw(9) << "broken"
        << "\n";
    for (const Verdict &verdict : verdicts) {
        held = held && verdict.violations.empty();
        out << std::left << std::setw(72) << verdict.guarantee << std::right << std::setw(9)
            << verdict.examined << std::setw(9) << verdict.violations.size() << "\n";
        for (std::size_t i = 0; i < std::min(MaxViolationsShown, verdict.violations.size()); ++i) {
            out << "    " << verdict.violations[i] << "\n";
        }
    }
    return held;
}

void printLoad(const std::vector<RequestRecord> &records, std::ostream &out)
{
    out << std::left << std::setw(10) << "kind" << std::right << std::setw(8) << "sent"
        << std::setw(10) << "answered" << std::setw(9) << "p50 ms" << std::setw(9) << "p95 ms"
        << std::setw(9) << "p99 ms" << std::setw(14) << "first p95 ms"
        << "\n";
    for (const CallKind kind : {CallKind::Chat, CallKind::Lookup, CallKind::Booking}) {
        std::vector<double> latencies;
        std::vector<double> firstBytes;
        std::int64_t sent = 0;
        for (const RequestRecord &record : records) {
            if (record.kind != kind) {
                continue;
            }
            ++sent;
            if (record.answered) {
                latencies.push_back(
                    std::chrono::duration<double, std::milli>(record.latency).count());
                firstBytes.push_back(
                    std::chrono::duration<double, std::milli>(record.firstByte).count());
            }
        }
        std::sort(latencies.begin(), latencies.end());
        std::sort(firstBytes.begin(), firstBytes.end());
        out << std::left << std::setw(10) << callKindName(kind) << std::right << std::setw(8)
            << sent << std::setw(10) << latencies.size() << std::fixed << std::setprecision(1)
            << std::setw(9) << percentile(latencies, 0.50) << std::setw(9)
            << percentile(latencies, 0.95) << std::setw(9) << percentile(latencies, 0.99)
            << std::setw(14) << percentile(firstBytes, 0.95) << "\n";
    }
}

} // namespace lycheearch::trial
