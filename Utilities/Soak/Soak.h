#pragma once

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "CallerStandIn.h"
#include "ChildProcess.h"
#include "FaultProxy.h"
#include "Ledger.h"
#include "RunnerStandIn.h"
#include "StoreStandIn.h"

namespace lycheearch::soak {

/// Size and duration of a soak run.
struct SoakOptions
{
    std::uint64_t seed = 1;
    Duration length = 15s; ///< A fault-free phase follows.
    int daemons = 4;
    int runners = 4;
    int callersPerDaemon = 3;
    std::uint16_t firstPort = 29000; ///< Distinct from the ports that the tests use.
    std::string buildFolder;
    std::string workFolder;
};

/// Runs daemons as separate processes against a simulated store, simulated backend servers and
/// simulated callers, injects random faults and checks the promises. The seed determines the plan
/// of the faults; the timing of the processes still varies.
class Soak
{
public:
    explicit Soak(SoakOptions options);

    /// Returns a message for each violation of a promise.
    std::vector<std::string> run();
    /// Number of requests that the callers sent.
    std::size_t requests() const { return m_ledger.fates().size(); }
    /// Share, from 0 to 1, of the requests of the fault-free phase that were answered with status
    /// 200.
    double servedCalm() const { return m_servedCalm; }

private:
    /// A daemon process and the proxy through which it reaches the store.
    struct Daemon
    {
        std::string settings;
        std::string output;
        std::unique_ptr<trial::FaultProxy> storeLink;
        std::unique_ptr<trial::ChildProcess> process;
        bool stopped = false; ///< By SIGSTOP.
    };

    void publish();
    void writeSettings(int number);
    void startDaemon(Daemon &daemon);
    void planFaults(TimePoint from);
    void injectOne(TimePoint now);
    void faultDaemon(TimePoint now);
    void faultStore(TimePoint now);
    void faultRunner(TimePoint now);
    void later(Duration delay, std::function<void()> action);
    void heal();
    void note(const std::string &what);

    SoakOptions m_options;
    std::mt19937_64 m_random;
    SystemClock m_clock;
    EventLoop m_loop;
    Ledger m_ledger;
    std::unique_ptr<StoreStandIn> m_store;
    std::vector<std::unique_ptr<RunnerStandIn>> m_runners;
    std::vector<std::unique_ptr<CallerStandIn>> m_callers;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    TimePoint m_start;
    int m_version = 0;
    double m_servedCalm = 0;
};

} // namespace lycheearch::soak
