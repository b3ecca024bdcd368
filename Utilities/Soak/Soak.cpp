#include "Soak.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

#include <nlohmann/json.hpp>

namespace lycheearch::soak {

namespace {

constexpr int UsualSlots = 16; ///< Of a backend server.
constexpr Duration StartupTime = 1500ms;
/// From the end of the faults to the start of the fault-free phase.
constexpr Duration SettleTime = 4s;
constexpr Duration FaultFreeTime = 2s;
constexpr double MinFaultFreeServedShare = 0.97;
/// Time after which a draining backend server must not receive requests: the default of the router
/// daemon's setting bounds.drain_ms.
constexpr Duration DrainTimeLimit = 2s;
/// From SIGTERM until a daemon has ended.
constexpr Duration StopTime = 4500ms;
/// Time limits are not checked until this long after a fault.
constexpr Duration FaultRecoveryTime = 3s;

nlohmann::json route(const char *path, const char *kind, int attempts)
{
    return {{"Name", path},
            {"Host", "h.example"},
            {"PathPrefix", path},
            {"Kind", kind},
            {"TimeoutMs", 1500},
            {"TargetLatencyMs", 200},
            {"GapAimMs", 300},
            {"Service", "s"},
            {"MaxAttempts", attempts},
            {"Resumable", attempts > 1}};
}

} // namespace

Soak::Soak(SoakOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_loop(m_clock)
{
    std::filesystem::create_directories(m_options.workFolder);
    const auto port = [this](int offset) {
        return Endpoint{"127.0.0.1", static_cast<std::uint16_t>(m_options.firstPort + offset)};
    };
    if (m_options.idleCallers) {
        m_rests = std::make_unique<RestPlan>(m_random);
    }
    m_store = std::make_unique<SimulatedStore>(m_loop, port(0));
    publishConfig();
    for (int i = 0; i < m_options.backends; ++i) {
        m_backends.push_back(std::make_unique<SimulatedBackend>(
            m_loop, port(10 + i), m_options.brittle ? BrittleSlots : UsualSlots, *m_store,
            m_checker, m_random));
    }
    if (m_options.linkCuts) {
        m_linkCuts =
            std::make_unique<LinkCuts>(m_loop, m_backends, m_checker, m_random, m_options.daemons,
                                       [this](const std::string &what) { logFault(what); });
    }
    for (int i = 0; i < m_options.daemons; ++i) {
        auto daemon = std::make_unique<Daemon>();
        daemon->buildFolder = m_options.replacedBuildFolder.empty() ? m_options.buildFolder
                                                                    : m_options.replacedBuildFolder;
        daemon->storeProxy =
            std::make_unique<trial::FaultProxy>(port(100 + 10 * i).port, port(0).port);
        m_daemons.push_back(std::move(daemon));
        writeSettings(i);
        if (m_options.linkCuts) {
            m_store->addHost({LinkCuts::hostOf(i), port(0).port});
        }
        for (int j = 0; j < m_options.callersPerDaemon; ++j) {
            m_callers.push_back(std::make_unique<SimulatedCaller>(
                m_loop, port(101 + 10 * i), LinkCuts::idPrefixOf(i) + std::to_string(j), m_checker,
                m_random));
        }
    }
    m_crashingCaller =
        std::make_unique<SimulatedCaller>(m_loop, port(101), "crashing", m_checker, m_random);
}

void Soak::publishConfig()
{
    nlohmann::json config = {
        {"Version", ++m_configVersion},
        {"Routes",
         {route("/again/", "idempotent", 3), route("/once/", "non_idempotent", 1),
          route("/stream/", "stream", 3)}},
        {"Services", {{{"Name", "s"}, {"HealthPath", "/health"}, {"MaxConns", 100}}}},
        {"Tenants", {{{"Name", "acc"}, {"ApiKeys", {"k"}}}}}};
    if (m_rests) {
        m_rests->vary(config);
    }
    m_store->appendRecord("keyed.op", "config", config.dump());
}

void Soak::writeSettings(int number)
{
    Daemon &daemon = *m_daemons[static_cast<std::size_t>(number)];
    const std::string name = "d" + std::to_string(number);
    daemon.settingsPath = m_options.workFolder + "/" + name + ".yaml";
    daemon.logPath = m_options.workFolder + "/" + name + ".log";
    const int base = m_options.firstPort + 100 + 10 * number;
    const auto address = [base](int offset) {
        return "127.0.0.1:" + std::to_string(base + offset) + "\n";
    };
    std::ofstream file(daemon.settingsPath);
    const std::string dataCentre = m_options.linkCuts ? "near-" + name : "here";
    const std::string store = m_options.linkCuts
        ? LinkCuts::hostOf(number) + ":" + std::to_string(m_options.firstPort) + "\n"
        : address(0);
    file << "instance: " << name << "\ndata_centre: " << dataCentre << "\nlisten: " << address(1)
         << "readiness_listen: " << address(2) << "metrics_listen: " << address(3)
         << "feed_listen: " << address(4) << "relay_listen: " << address(5) << "store: " << store
         << "bounds:\n  grace_s: 4\n  retry_ratio: 0.9\n  retry_slack: 50\n";
}

void Soak::startDaemon(Daemon &daemon)
{
    daemon.suspended = false;
    daemon.process = std::make_unique<trial::ChildProcess>(
        std::vector<std::string>{daemon.buildFolder + "/Source/lycheearchd", "--platform",
                                 "--config", daemon.settingsPath},
        daemon.logPath);
}

std::vector<std::string> Soak::run()
{
    m_startTime = m_loop.now();
    for (const auto &daemon : m_daemons) {
        startDaemon(*daemon);
    }
    runAfter(StartupTime, [this] {
        for (const auto &caller : m_callers) {
            if (m_rests) {
                caller->startResting(*m_rests);
            } else {
                caller->start();
            }
        }
        if (m_options.limitsAndCrashes) {
            m_crashingCaller->startCrashing();
        }
    });
    scheduleFaults(m_startTime + StartupTime);
    if (!m_options.replacedBuildFolder.empty()) {
        scheduleReplacements();
    }
    const Duration faultsEnd = StartupTime + m_options.faultDuration;
    const Duration faultFreeFrom = faultsEnd + SettleTime;
    runAfter(faultsEnd, [this] { endAllFaults(); });
    runAfter(faultFreeFrom + FaultFreeTime, [this] {
        for (const auto &caller : m_callers) {
            caller->stop();
        }
        m_crashingCaller->stop();
        m_loop.stop();
    });
    m_loop.run();
    m_faultFreeServedShare = m_checker.servedShare(
        m_startTime + faultFreeFrom, m_startTime + faultFreeFrom + FaultFreeTime - Duration(500ms));
    if (m_faultFreeServedShare < MinFaultFreeServedShare) {
        m_checker.addViolation("share of requests served after the faults is only "
                               + std::to_string(m_faultFreeServedShare)
                               + ", below the required share");
    }
    return m_checker.violations();
}

void Soak::scheduleFaults(TimePoint from)
{
    constexpr int maxPauseMs = 1500;
    TimePoint at = from;
    while (at < from + m_options.faultDuration - Duration(2s)) {
        at += std::chrono::milliseconds(m_random() % maxPauseMs);
        m_loop.at(at, [this](TimePoint now) { injectFault(now); });
    }
}

void Soak::scheduleReplacements()
{
    // The last one is replaced in the second half, so that both builds run beside each other.
    const Duration period = m_options.faultDuration * 2 / (3 * m_options.daemons);
    for (int i = 0; i < m_options.daemons; ++i) {
        runAfter(StartupTime + period * (i + 1),
                 [this, i] { replaceBuild(*m_daemons[static_cast<std::size_t>(i)]); });
    }
}

void Soak::replaceBuild(Daemon &daemon)
{
    logFault("replace (SIGTERM) " + daemon.settingsPath);
    m_checker.suspendTimeLimits(m_loop.now() + StopTime + FaultRecoveryTime);
    daemon.buildFolder = m_options.buildFolder;
    if (daemon.process->running() && !daemon.suspended) {
        daemon.process->signal(SIGTERM);
    }
    runAfter(StopTime, [this, &daemon] {
        if (!daemon.process->running()) {
            startDaemon(daemon);
        }
    });
}

void Soak::injectFault(TimePoint now)
{
    if (m_options.limitsAndCrashes) {
        injectRateLimit();
        return;
    }
    if (m_options.brittle) {
        makeServersBrittle();
        return;
    }
    if (m_rests) {
        m_checker.suspendTimeLimits(now + FaultRecoveryTime);
        injectStandstill();
        return;
    }
    if (m_linkCuts) {
        if (m_random() % 4 == 0) {
            m_linkCuts->silenceServers(now);
        } else {
            m_linkCuts->cutSome(now);
        }
        return;
    }
    m_checker.suspendTimeLimits(now + FaultRecoveryTime);
    switch (m_random() % 3) {
    case 0:
        injectDaemonFault(now);
        break;
    case 1:
        injectStoreFault(now);
        break;
    default:
        injectBackendFault(now);
        break;
    }
}

void Soak::injectDaemonFault(TimePoint)
{
    Daemon &daemon = *m_daemons[m_random() % m_daemons.size()];
    const auto restart = [this, &daemon] {
        if (!daemon.process->running()) {
            startDaemon(daemon);
        }
    };
    if (daemon.suspended || !daemon.process->running()) {
        return;
    }
    switch (m_random() % 4) {
    case 0:
        logFault("kill (SIGKILL) " + daemon.settingsPath);
        daemon.process->signal(SIGKILL);
        runAfter(500ms, restart);
        break;
    case 1:
        logFault("terminate (SIGTERM) " + daemon.settingsPath);
        daemon.process->signal(SIGTERM);
        runAfter(StopTime, restart);
        break;
    case 2:
        logFault("pause (SIGSTOP) " + daemon.settingsPath);
        daemon.suspended = true;
        daemon.process->signal(SIGSTOP);
        runAfter(1500ms, [&daemon] {
            daemon.suspended = false;
            daemon.process->signal(SIGCONT);
        });
        break;
    default:
        logFault("reload (SIGHUP) " + daemon.settingsPath);
        daemon.process->signal(SIGHUP);
        break;
    }
}

void Soak::injectStoreFault(TimePoint)
{
    trial::FaultProxy &proxy = *m_daemons[m_random() % m_daemons.size()]->storeProxy;
    const auto setModeFor = [this](StoreMode mode, Duration time) {
        m_store->setMode(mode);
        runAfter(time, [this] { m_store->setMode(StoreMode::Normal); });
        m_checker.suspendTimeLimits(m_loop.now() + time + FaultRecoveryTime);
    };
    const auto setLinkStateFor = [&](trial::LinkState state, Duration time) {
        proxy.setState(state);
        runAfter(time, [&proxy] { proxy.setState(trial::LinkState::Open); });
        m_checker.suspendTimeLimits(m_loop.now() + time + FaultRecoveryTime);
    };
    const std::uint64_t drills = m_options.storeDrills ? 3 : 0;
    switch (m_random() % (7 + drills)) {
    case 0:
        logFault("store refuses requests");
        setModeFor(StoreMode::Refusing, 2s);
        break;
    case 1:
        logFault("store does not answer");
        setModeFor(StoreMode::Silent, 2s);
        break;
    case 2:
        logFault("store loses answers");
        setModeFor(StoreMode::LosingAnswers, 2s);
        break;
    case 3:
        logFault("store deletes old records");
        m_store->compact();
        break;
    case 4:
        logFault("one daemon loses its connection to the store");
        setLinkStateFor(trial::LinkState::Cut, 2s);
        break;
    case 5:
        logFault("open connections of one daemon to the store stall");
        proxy.stallOpenConnections();
        break;
    case 6:
        logFault("operator publishes a new configuration");
        publishConfig();
        break;
    default:
        runStoreDrill();
        break;
    }
}

void Soak::runStoreDrill()
{
    logFault("store comes back from an older copy");
    constexpr Duration absence = 300ms;
    m_store->setMode(StoreMode::Refusing);
    m_checker.suspendTimeLimits(m_loop.now() + absence + FaultRecoveryTime);
    runAfter(absence, [this] {
        const auto age = std::chrono::milliseconds(500 + m_random() % 4000);
        m_store->comeBackOlder(age);
        m_store->setMode(StoreMode::Normal);
    });
    runAfter(absence + 200ms + std::chrono::milliseconds(m_random() % 1000),
             [this] { publishConfig(); });
    for (const auto &backend : m_backends) {
        const auto delay = std::chrono::milliseconds(m_random() % 1200);
        runAfter(absence + delay, [&backend = *backend] {
            if (backend.isRunning()) {
                backend.renewRegistration();
            }
        });
    }
}

void Soak::injectBackendFault(TimePoint)
{
    SimulatedBackend &backend = *m_backends[m_random() % m_backends.size()];
    if (!backend.isRunning()) {
        return;
    }
    const auto restart = [&backend] {
        if (!backend.isRunning()) {
            backend.start();
        }
    };
    switch (m_random() % 3) {
    case 0:
        logFault("a backend server crashes");
        backend.crash();
        runAfter(1200ms, restart);
        break;
    case 1:
        logFault("a backend server drains and stops");
        backend.drain(DrainTimeLimit);
        runAfter(3s, [&backend] { backend.crash(); });
        runAfter(3500ms, restart);
        break;
    default:
        logFault("a backend server closes connections in the middle of answers");
        backend.setBrokenAnswerShare(0.3);
        runAfter(2s, [&backend] { backend.setBrokenAnswerShare(0); });
        break;
    }
}

void Soak::injectRateLimit()
{
    constexpr Duration limitTime = 8s;
    constexpr int maxPerSecond = 6;
    SimulatedBackend &backend = *m_backends[m_random() % m_backends.size()];
    if (!backend.isRunning() || backend.namesRateLimit()) {
        return;
    }
    const int perSecond = 1 + static_cast<int>(m_random() % maxPerSecond);
    logFault("a backend server names a rate limit of " + std::to_string(perSecond));
    backend.nameRateLimit(perSecond);
    runAfter(limitTime, [&backend] { backend.endRateLimit(); });
}

void Soak::injectStandstill()
{
    constexpr int maxVersions = 4;
    constexpr int maxVersionIntervalMs = 300;
    Duration at{};
    for (std::uint64_t versions = m_random() % (maxVersions + 1); versions > 0; --versions) {
        runAfter(at, [this] {
            publishConfig();
            logFault("version " + std::to_string(m_configVersion) + " with an idle timeout of "
                     + std::to_string(toMilliseconds(m_rests->idleTimeout())) + " ms");
        });
        at += std::chrono::milliseconds(m_random() % maxVersionIntervalMs);
    }
    for (const auto &daemon : m_daemons) {
        if (m_random() % 3 > 0) {
            pauseBriefly(*daemon);
        }
    }
}

void Soak::pauseBriefly(Daemon &daemon)
{
    constexpr int minPauseMs = 50;
    constexpr int maxPauseMs = 600;
    if (daemon.suspended || !daemon.process->running()) {
        return;
    }
    const auto pause =
        std::chrono::milliseconds(minPauseMs + m_random() % (maxPauseMs - minPauseMs + 1));
    logFault("pause (SIGSTOP) for " + std::to_string(pause.count()) + " ms " + daemon.settingsPath);
    daemon.suspended = true;
    daemon.process->signal(SIGSTOP);
    runAfter(pause, [&daemon] {
        daemon.suspended = false;
        daemon.process->signal(SIGCONT);
    });
}

void Soak::makeServersBrittle()
{
    constexpr Duration brittleTime = 7s;
    constexpr int maxRejections = 4;
    const int perSecond = 1 + static_cast<int>(m_random() % maxRejections);
    logFault("the backend servers bear " + std::to_string(perSecond) + " rejections a second");
    for (const auto &backend : m_backends) {
        backend->becomeBrittle(perSecond);
    }
    runAfter(brittleTime, [this] { endBrittle(); });
}

void Soak::endBrittle()
{
    for (const auto &backend : m_backends) {
        backend->endBrittle();
    }
    m_checker.endBrittle(static_cast<int>(m_backends.size()));
}

void Soak::endAllFaults()
{
    logFault("all faults end");
    m_store->setMode(StoreMode::Normal);
    if (m_linkCuts) {
        m_linkCuts->endAll();
    }
    endBrittle();
    for (const auto &daemon : m_daemons) {
        daemon->storeProxy->setState(trial::LinkState::Open);
        if (daemon->suspended) {
            daemon->process->signal(SIGCONT);
        }
        if (!daemon->process->running()) {
            startDaemon(*daemon);
        }
    }
    for (const auto &backend : m_backends) {
        backend->setBrokenAnswerShare(0);
        backend->endRateLimit();
        if (!backend->isRunning()) {
            backend->start();
        }
    }
}

std::string Soak::keptConnections() const
{
    std::string text;
    for (const auto &[daemon, counts] : m_checker.keptConnections()) {
        text += daemon + " kept " + std::to_string(counts.sent) + ", lost "
            + std::to_string(counts.lost) + ", dropped " + std::to_string(counts.dropped)
            + ", unread " + std::to_string(counts.unread) + "\n";
    }
    return text;
}

void Soak::runAfter(Duration delay, std::function<void()> action)
{
    m_loop.at(m_loop.now() + delay, [action = std::move(action)](TimePoint) { action(); });
}

void Soak::logFault(const std::string &what)
{
    std::ofstream faultLog(m_options.workFolder + "/faults.log", std::ios::app);
    faultLog << toMilliseconds(m_loop.now() - m_startTime) << " ms: " << what << "\n";
}

} // namespace lycheearch::soak
