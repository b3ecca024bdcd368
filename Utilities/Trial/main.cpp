#include <iomanip>
#include <iostream>
#include <mutex>

#include <CLI/CLI.hpp>

#include "ControlCost.h"
#include "Overhead.h"
#include "PolicyComparison.h"
#include "Scenario.h"
#include "Trial.h"

using namespace lycheearch;
using namespace lycheearch::trial;

namespace {

constexpr int PortsPerFleet = 200;

/// Values of the command line.
struct Arguments
{
    TrialPaths paths{"build", "Utilities/Deployments/sitara", "build/trial"};
    WorkloadSpec workload;
    double seconds = 10;
    std::uint16_t firstPort = 21000;
};

/// Runs a workload while a data centre is taken out of service and put back, one daemon is stopped
/// gracefully, and another is killed. Returns the exit code: 1 if a guarantee was violated or bills
/// stayed pending.
int runDemo(const Arguments &arguments)
{
    FleetOptions options;
    options.firstPort = arguments.firstPort;
    Trial trial(arguments.paths, options);
    std::cout << "Starting " << trial.fleet().daemons().size() << " daemons.\n";
    trial.start();
    std::thread operatorThread([&] {
        const std::string dataCentre = trial.fleet().plan().dataCentres.front().id;
        std::this_thread::sleep_for(1s);
        trial.takeDataCentreOut(dataCentre);
        std::this_thread::sleep_for(std::chrono::duration<double>(arguments.seconds * 0.7));
        trial.putDataCentreBack(dataCentre);
    });
    std::thread faultThread([&] {
        std::this_thread::sleep_for(2s);
        const std::string stoppedId = trial.fleet().daemons().at(1).id;
        trial.stopGracefully(stoppedId);
        trial.restart(stoppedId);
        std::this_thread::sleep_for(1s);
        const std::string killedId = trial.fleet().daemons().back().id;
        trial.killDaemon(killedId);
        std::this_thread::sleep_for(1s);
        trial.restart(killedId);
    });
    WorkloadSpec spec = arguments.workload;
    spec.length =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(arguments.seconds));
    trial.load(spec);
    operatorThread.join();
    faultThread.join();
    const bool billed = trial.waitUntilBilled(30s);
    trial.collectEvidence();
    printLoad(trial.evidence().records, std::cout);
    std::cout << "\n";
    const bool held = printVerdicts(Checker(trial.evidence()).check(), std::cout);
    if (!billed) {
        std::cout << "Bills were still pending at the end.\n";
    }
    trial.fleet().stopAll(true);
    return held && billed ? 0 : 1;
}

/// Runs a workload without faults and prints latencies and goodput.
int runLoad(const Arguments &arguments)
{
    FleetOptions options;
    options.firstPort = arguments.firstPort;
    options.proxied = false;
    Trial trial(arguments.paths, options);
    trial.start();
    WorkloadSpec spec = arguments.workload;
    spec.length =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(arguments.seconds));
    const TimePoint start = SystemClock().now();
    trial.load(spec);
    const double seconds = std::chrono::duration<double>(SystemClock().now() - start).count();
    std::size_t answered = 0;
    for (const RequestRecord &record : trial.evidence().records) {
        answered += record.answered ? 1 : 0;
    }
    printLoad(trial.evidence().records, std::cout);
    std::cout << "goodput " << static_cast<double>(answered) / seconds << " requests/s\n";
    return 0;
}

/// Runs the scenarios whose names contain \p nameFilter, up to \p parallel of them concurrently.
/// Returns the number of scenarios that failed.
int runMatrix(const Arguments &arguments, const std::string &nameFilter, int parallel)
{
    std::vector<Scenario> selected;
    for (const Scenario &scenario : allScenarios()) {
        if (nameFilter.empty() || scenario.name.find(nameFilter) != std::string::npos) {
            selected.push_back(scenario);
        }
    }
    std::atomic<std::size_t> next = 0;
    std::atomic<int> failed = 0;
    std::mutex outputMutex;
    std::vector<std::thread> workers;
    for (int worker = 0; worker < parallel; ++worker) {
        workers.emplace_back([&, worker] {
            while (true) {
                const std::size_t index = next++;
                if (index >= selected.size()) {
                    return;
                }
                TrialPaths paths = arguments.paths;
                paths.work += "-" + selected[index].name;
                WorkloadSpec spec = arguments.workload;
                spec.length = std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(arguments.seconds));
                const auto port =
                    static_cast<std::uint16_t>(arguments.firstPort + worker * PortsPerFleet);
                const ScenarioOutcome outcome = runScenario(selected[index], paths, port, spec);
                failed += outcome.passed() ? 0 : 1;
                const std::lock_guard lock(outputMutex);
                printOutcome(outcome, std::cout);
                std::cout << std::flush;
            }
        });
    }
    for (std::thread &worker : workers) {
        worker.join();
    }
    std::cout << "scenarios run " << selected.size() << ", green " << selected.size() - failed
              << ", red " << failed << ", seed " << arguments.workload.seed << "\n";
    return failed;
}

void listScenarios()
{
    for (const Scenario &scenario : allScenarios()) {
        std::cout << std::left << std::setw(28) << scenario.name << scenario.step << ": "
                  << scenario.fault << "\n";
    }
}

} // namespace

int main(int argc, char **argv)
{
    ChildProcess::killAllOnSignal();
    CLI::App app("Runs end-to-end trials of a fleet of real processes on loopback.");
    Arguments arguments;
    app.add_option("--programs", arguments.paths.programs, "Build folder")->capture_default_str();
    app.add_option("--deployment", arguments.paths.deployment, "Folder of a deployment")
        ->capture_default_str();
    app.add_option("--work", arguments.paths.work, "Folder for settings and logs")
        ->capture_default_str();
    app.add_option("--first-port", arguments.firstPort, "First of the loopback ports used")
        ->capture_default_str();
    app.add_option("--seed", arguments.workload.seed, "Seed of the random numbers")
        ->capture_default_str();
    app.add_option("--rate", arguments.workload.requestsPerSecond, "Requests per second")
        ->capture_default_str();
    app.add_option("--seconds", arguments.seconds,
                   "Duration of the load, or of a measurement, in seconds")
        ->capture_default_str();
    app.require_subcommand(1);
    CLI::App *demo = app.add_subcommand(
        "demo", "Run a load with a data centre taken out, a graceful stop and a kill");
    CLI::App *write =
        app.add_subcommand("write", "Write the settings of a fleet without starting it");
    CLI::App *matrix = app.add_subcommand("matrix", "Run the fault matrix");
    std::string nameFilter;
    bool list = false;
    int parallel = 1;
    matrix->add_option("--cell", nameFilter,
                       "Run only the scenarios (cells) whose names contain this text");
    matrix->add_flag("--list", list, "Only list the scenarios");
    matrix->add_option("--parallel", parallel, "Number of scenarios to run concurrently")
        ->capture_default_str();
    CLI::App *overhead =
        app.add_subcommand("overhead", "Measure the latency that a daemon adds to a call");
    int repetitions = 2000;
    overhead->add_option("--repetitions", repetitions, "Number of calls of each kind")
        ->capture_default_str();
    CLI::App *slopes =
        app.add_subcommand("slopes", "Measure the cost of control work by fleet size");
    std::vector<int> daemonCounts{4, 8, 16, 32};
    std::vector<int> backendCounts{23, 92};
    slopes->add_option("--daemons", daemonCounts, "Numbers of daemons to measure");
    slopes->add_option("--backends", backendCounts, "Numbers of backend servers to measure");
    CLI::App *decisions = app.add_subcommand(
        "decisions", "Compare the planner with simple policies for choosing a version");
    int requests = 20'000;
    decisions->add_option("--requests", requests, "Number of requests per policy")
        ->capture_default_str();
    CLI::App *load = app.add_subcommand("load", "Run a load without faults");
    load->add_option("--chat", arguments.workload.chatShare, "Share of chat requests")
        ->capture_default_str();
    load->add_option("--bookings", arguments.workload.bookingShare, "Share of booking requests")
        ->capture_default_str();
    load->add_option("--tokens", arguments.workload.tokens, "Number of tokens in a chat answer")
        ->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    try {
        if (*write) {
            FleetOptions options;
            options.firstPort = arguments.firstPort;
            options.proxied = false;
            const Trial trial(arguments.paths, options);
            std::cout << "Wrote settings to " << arguments.paths.work << ".\n";
        }
        if (*slopes) {
            std::vector<FleetSize> sizes;
            for (const int daemons : daemonCounts) {
                for (const int backends : backendCounts) {
                    sizes.push_back({daemons, backends});
                }
            }
            measureControlCost(arguments.paths, arguments.firstPort, sizes,
                               std::chrono::duration_cast<Duration>(
                                   std::chrono::duration<double>(arguments.seconds)),
                               std::cout);
        }
        if (*decisions) {
            comparePolicies(arguments.paths.deployment, arguments.workload.seed, requests,
                            std::cout);
        }
        if (*load) {
            return runLoad(arguments);
        }
        if (*overhead) {
            FleetOptions options;
            options.firstPort = arguments.firstPort;
            options.proxied = false;
            Trial trial(arguments.paths, options);
            trial.start();
            measureOverhead(trial, repetitions, std::cout);
        }
        if (*matrix && list) {
            listScenarios();
            return 0;
        }
        if (*matrix) {
            return runMatrix(arguments, nameFilter, parallel) == 0 ? 0 : 1;
        }
        if (*demo) {
            return runDemo(arguments);
        }
    } catch (const std::exception &error) {
        std::cerr << "lycheearch-trial: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
