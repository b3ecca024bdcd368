#pragma once

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "ChildProcess.h"
#include "FaultProxy.h"
#include "GuaranteeChecker.h"
#include "LinkCuts.h"
#include "RestPlan.h"
#include "SimulatedBackend.h"
#include "SimulatedCaller.h"
#include "SimulatedStore.h"

namespace lycheearch::soak {

/// Size and duration of a soak run.
struct SoakOptions
{
    std::uint64_t seed = 1;
    Duration faultDuration = 15s; ///< Of fault injection. A fault-free phase follows.
    int daemons = 4;
    int backends = 4;
    int callersPerDaemon = 3;
    bool storeDrills = false; ///< The store also comes back from older copies.
    /// The only faults: backend servers name rate limits, and a request comes that crashes them.
    bool limitsAndCrashes = false;
    /// The only faults: daemons lose their links to all backend servers, and servers fall silent
    /// for about a second. Each daemon is in a data centre of its own and reads the store itself.
    bool linkCuts = false;
    /// The only fault: the backend servers are brittle for some seconds, under more callers.
    bool brittle = false;
    /// The only faults: daemons stand still for some 100 ms, beside configurations of thousands of
    /// routes in quick succession, which change the idle timeout. The callers keep connections at
    /// rest near it.
    bool idleCallers = false;
    std::uint16_t firstPort = 29000; ///< Distinct from the ports that the tests use.
    std::string buildFolder;
    /// If set, the daemons start from this build, and are replaced by those of buildFolder one
    /// after the other, beside the other faults.
    std::string replacedBuildFolder;
    std::string workFolder;
};

/// Runs daemons as separate processes against a simulated store, simulated backend servers and
/// simulated callers, injects random faults and checks the guarantees. The seed determines the
/// times of the faults. Their kinds and targets come from the same random numbers, but callers and
/// backend servers draw from these too, so the faults vary with the timing of the processes.
class Soak
{
public:
    explicit Soak(SoakOptions options);

    /// Returns a message for each violation of a guarantee.
    std::vector<std::string> run();
    /// Number of requests that the callers sent.
    std::size_t requests() const { return m_checker.histories().size(); }
    /// Share, from 0 to 1, of the requests of the fault-free phase that were answered with status
    /// 200. Requests of its last 500 ms are not counted: the callers stop at its end, and some
    /// answers are still missing then.
    double faultFreeServedShare() const { return m_faultFreeServedShare; }
    /// Requests on kept connections in SoakOptions::idleCallers, in one line for each daemon.
    std::string keptConnections() const;

private:
    /// A daemon process and the proxy through which it reaches the store.
    struct Daemon
    {
        std::string settingsPath;
        std::string logPath;
        std::string buildFolder; ///< Of the program that is started next.
        std::unique_ptr<trial::FaultProxy> storeProxy;
        std::unique_ptr<trial::ChildProcess> process;
        bool suspended = false; ///< By SIGSTOP.
    };

    void publishConfig();
    void writeSettings(int number);
    void startDaemon(Daemon &daemon);
    void scheduleFaults(TimePoint from);
    /// Replaces the daemons of SoakOptions::replacedBuildFolder one after the other.
    void scheduleReplacements();
    void replaceBuild(Daemon &daemon);
    void injectFault(TimePoint now);
    void injectDaemonFault(TimePoint now);
    void injectStoreFault(TimePoint now);
    /// The store is away for a moment and comes back from an older copy. The operator and the
    /// backend servers then write their records again.
    void runStoreDrill();
    void injectBackendFault(TimePoint now);
    void injectRateLimit();
    /// Pauses most of the daemons, and may publish some versions in quick succession.
    void injectStandstill();
    /// By SIGSTOP.
    void pauseBriefly(Daemon &daemon);
    /// All backend servers are brittle for some seconds.
    void makeServersBrittle();
    void endBrittle();
    void runAfter(Duration delay, std::function<void()> action);
    void endAllFaults();
    void logFault(const std::string &what);

    SoakOptions m_options;
    std::mt19937_64 m_random;
    SystemClock m_clock;
    EventLoop m_loop;
    GuaranteeChecker m_checker;
    std::unique_ptr<SimulatedStore> m_store;
    std::vector<std::unique_ptr<SimulatedBackend>> m_backends;
    std::vector<std::unique_ptr<SimulatedCaller>> m_callers;
    std::unique_ptr<SimulatedCaller> m_crashingCaller;
    std::unique_ptr<RestPlan> m_rests; ///< Null without SoakOptions::idleCallers.
    std::unique_ptr<LinkCuts> m_linkCuts; ///< Null without SoakOptions::linkCuts.
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    TimePoint m_startTime;
    int m_configVersion = 0;
    double m_faultFreeServedShare = 0;
};

} // namespace lycheearch::soak
