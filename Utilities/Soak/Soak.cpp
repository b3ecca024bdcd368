#include "Soak.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

#include <nlohmann/json.hpp>

namespace lycheearch::soak {

namespace {

constexpr Duration StartTime = 1500ms;
/// From the end of the faults to the start of the fault-free phase.
constexpr Duration SettleTime = 4s;
constexpr Duration CalmTime = 2s;
constexpr double LeastServedCalm = 0.97;
/// Time after which a draining backend server must get no requests: the default of the setting
/// drain_ms.
constexpr Duration DrainBound = 2s;
/// Time limits are not checked until this long after a fault.
constexpr Duration ContactTime = 3s;

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
    m_store = std::make_unique<StoreStandIn>(m_loop, port(0));
    publish();
    for (int i = 0; i < m_options.runners; ++i) {
        m_runners.push_back(
            std::make_unique<RunnerStandIn>(m_loop, port(10 + i), *m_store, m_ledger, m_random));
    }
    for (int i = 0; i < m_options.daemons; ++i) {
        auto daemon = std::make_unique<Daemon>();
        daemon->storeLink =
            std::make_unique<trial::FaultProxy>(port(100 + 10 * i).port, port(0).port);
        m_daemons.push_back(std::move(daemon));
        writeSettings(i);
        for (int j = 0; j < m_options.callersPerDaemon; ++j) {
            m_callers.push_back(std::make_unique<CallerStandIn>(
                m_loop, port(101 + 10 * i), "q" + std::to_string(i) + "." + std::to_string(j),
                m_ledger, m_random));
        }
    }
}

void Soak::publish()
{
    const nlohmann::json config = {
        {"Version", ++m_version},
        {"Routes",
         {route("/again/", "idempotent", 3), route("/once/", "non_idempotent", 1),
          route("/stream/", "stream", 3)}},
        {"Services", {{{"Name", "s"}, {"HealthPath", "/health"}, {"MaxConns", 100}}}},
        {"Tenants", {{{"Name", "acc"}, {"ApiKeys", {"k"}}}}}};
    m_store->put("keyed.op", "config", config.dump());
}

void Soak::writeSettings(int number)
{
    Daemon &daemon = *m_daemons[static_cast<std::size_t>(number)];
    const std::string name = "d" + std::to_string(number);
    daemon.settings = m_options.workFolder + "/" + name + ".yaml";
    daemon.output = m_options.workFolder + "/" + name + ".log";
    const int base = m_options.firstPort + 100 + 10 * number;
    const auto address = [base](int offset) {
        return "127.0.0.1:" + std::to_string(base + offset) + "\n";
    };
    std::ofstream file(daemon.settings);
    file << "instance: " << name << "\ndata_centre: here\nlisten: " << address(1)
         << "readiness_listen: " << address(2) << "metrics_listen: " << address(3)
         << "feed_listen: " << address(4) << "store: " << address(0)
         << "bounds:\n  grace_s: 4\n  retry_ratio: 0.9\n  retry_slack: 50\n";
}

void Soak::startDaemon(Daemon &daemon)
{
    daemon.stopped = false;
    daemon.process = std::make_unique<trial::ChildProcess>(
        std::vector<std::string>{m_options.buildFolder + "/Source/lycheearchd", "--platform",
                                 "--config", daemon.settings},
        daemon.output);
}

std::vector<std::string> Soak::run()
{
    m_start = m_loop.now();
    for (const auto &daemon : m_daemons) {
        startDaemon(*daemon);
    }
    later(StartTime, [this] {
        for (const auto &caller : m_callers) {
            caller->start();
        }
    });
    planFaults(m_start + StartTime);
    const Duration faultsEnd = StartTime + m_options.length;
    const Duration calmFrom = faultsEnd + SettleTime;
    later(faultsEnd, [this] { heal(); });
    later(calmFrom + CalmTime, [this] {
        for (const auto &caller : m_callers) {
            caller->stop();
        }
        m_loop.stop();
    });
    m_loop.run();
    m_servedCalm =
        m_ledger.served(m_start + calmFrom, m_start + calmFrom + CalmTime - Duration(500ms));
    if (m_servedCalm < LeastServedCalm) {
        m_ledger.report("share of requests served after the faults is only "
                        + std::to_string(m_servedCalm) + ", below the required share");
    }
    return m_ledger.broken();
}

void Soak::planFaults(TimePoint from)
{
    constexpr int longestPauseMs = 1500;
    TimePoint at = from;
    while (at < from + m_options.length - Duration(2s)) {
        at += std::chrono::milliseconds(m_random() % longestPauseMs);
        m_loop.at(at, [this](TimePoint now) { injectOne(now); });
    }
}

void Soak::injectOne(TimePoint now)
{
    m_ledger.excuse(now + ContactTime);
    switch (m_random() % 3) {
    case 0:
        faultDaemon(now);
        break;
    case 1:
        faultStore(now);
        break;
    default:
        faultRunner(now);
        break;
    }
}

void Soak::faultDaemon(TimePoint)
{
    Daemon &daemon = *m_daemons[m_random() % m_daemons.size()];
    const auto restart = [this, &daemon] {
        if (!daemon.process->running()) {
            startDaemon(daemon);
        }
    };
    if (daemon.stopped || !daemon.process->running()) {
        return;
    }
    switch (m_random() % 4) {
    case 0:
        note("kill (SIGKILL) " + daemon.settings);
        daemon.process->signal(SIGKILL);
        later(500ms, restart);
        break;
    case 1:
        note("terminate (SIGTERM) " + daemon.settings);
        daemon.process->signal(SIGTERM);
        later(4500ms, restart);
        break;
    case 2:
        note("pause (SIGSTOP) " + daemon.settings);
        daemon.stopped = true;
        daemon.process->signal(SIGSTOP);
        later(1500ms, [&daemon] {
            daemon.stopped = false;
            daemon.process->signal(SIGCONT);
        });
        break;
    default:
        note("reload (SIGHUP) " + daemon.settings);
        daemon.process->signal(SIGHUP);
        break;
    }
}

void Soak::faultStore(TimePoint)
{
    trial::FaultProxy &link = *m_daemons[m_random() % m_daemons.size()]->storeLink;
    const auto moodFor = [this](StoreMood mood, Duration time) {
        m_store->setMood(mood);
        later(time, [this] { m_store->setMood(StoreMood::Well); });
        m_ledger.excuse(m_loop.now() + time + ContactTime);
    };
    const auto cutFor = [&](trial::LinkState state, Duration time) {
        link.setState(state);
        later(time, [&link] { link.setState(trial::LinkState::Open); });
        m_ledger.excuse(m_loop.now() + time + ContactTime);
    };
    switch (m_random() % 7) {
    case 0:
        note("store refuses requests");
        moodFor(StoreMood::Refusing, 2s);
        break;
    case 1:
        note("store does not answer");
        moodFor(StoreMood::Silent, 2s);
        break;
    case 2:
        note("store loses answers");
        moodFor(StoreMood::Forgetful, 2s);
        break;
    case 3:
        note("store deletes old records");
        m_store->compact();
        break;
    case 4:
        note("one daemon loses its connection to the store");
        cutFor(trial::LinkState::Cut, 2s);
        break;
    case 5:
        note("open connections of one daemon to the store go silent");
        link.silenceOpenConnections();
        break;
    default:
        note("publish a new configuration");
        publish();
        break;
    }
}

void Soak::faultRunner(TimePoint)
{
    RunnerStandIn &runner = *m_runners[m_random() % m_runners.size()];
    if (!runner.up()) {
        return;
    }
    const auto restart = [&runner] {
        if (!runner.up()) {
            runner.start();
        }
    };
    switch (m_random() % 3) {
    case 0:
        note("a backend server crashes");
        runner.crash();
        later(1200ms, restart);
        break;
    case 1:
        note("a backend server drains and stops");
        runner.drain(DrainBound);
        later(3s, [&runner] { runner.crash(); });
        later(3500ms, restart);
        break;
    default:
        note("a backend server closes connections in the middle of answers");
        runner.setBreakShare(0.3);
        later(2s, [&runner] { runner.setBreakShare(0); });
        break;
    }
}

void Soak::heal()
{
    note("all faults end");
    m_store->setMood(StoreMood::Well);
    for (const auto &daemon : m_daemons) {
        daemon->storeLink->setState(trial::LinkState::Open);
        if (daemon->stopped) {
            daemon->process->signal(SIGCONT);
        }
        if (!daemon->process->running()) {
            startDaemon(*daemon);
        }
    }
    for (const auto &runner : m_runners) {
        runner->setBreakShare(0);
        if (!runner->up()) {
            runner->start();
        }
    }
}

void Soak::later(Duration delay, std::function<void()> action)
{
    m_loop.at(m_loop.now() + delay, [action = std::move(action)](TimePoint) { action(); });
}

void Soak::note(const std::string &what)
{
    std::ofstream plan(m_options.workFolder + "/faults.log", std::ios::app);
    plan << toMilliseconds(m_loop.now() - m_start) << " ms: " << what << "\n";
}

} // namespace lycheearch::soak
