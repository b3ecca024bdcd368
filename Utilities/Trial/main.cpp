#include <iostream>

#include <CLI/CLI.hpp>

#include "Trial.h"

using namespace lycheearch;
using namespace lycheearch::trial;

namespace {

/// Values of the command line.
struct Arguments
{
    TrialPaths paths{"build", "Utilities/Deployments/sitara", "build/trial"};
    WorkloadSpec workload;
    double seconds = 10;
    std::uint16_t firstPort = 21000;
};

/// A normal day in short: load, a data centre out and back, a graceful stop and a kill.
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
        trial.takeOut(dataCentre);
        std::this_thread::sleep_for(std::chrono::duration<double>(arguments.seconds * 0.7));
        trial.bringBack(dataCentre);
    });
    std::thread stops([&] {
        std::this_thread::sleep_for(2s);
        const std::string stopped = trial.fleet().daemons().at(1).id;
        trial.stopGracefully(stopped);
        trial.restart(stopped);
        std::this_thread::sleep_for(1s);
        const std::string killed = trial.fleet().daemons().back().id;
        trial.killDaemon(killed);
        std::this_thread::sleep_for(1s);
        trial.restart(killed);
    });
    WorkloadSpec spec = arguments.workload;
    spec.length =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(arguments.seconds));
    trial.load(spec);
    operatorThread.join();
    stops.join();
    const bool billed = trial.waitBilled(30s);
    trial.collect();
    printLoad(trial.evidence().records, std::cout);
    std::cout << "\n";
    const bool held = printVerdicts(Checker(trial.evidence()).judge(), std::cout);
    if (!billed) {
        std::cout << "Bills were still waiting at the end.\n";
    }
    trial.fleet().stopAll(true);
    return held && billed ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Trials of a whole fleet with real processes on loopback.");
    Arguments arguments;
    app.add_option("--programs", arguments.paths.programs, "Build folder")->capture_default_str();
    app.add_option("--deployment", arguments.paths.deployment, "Folder of a deployment")
        ->capture_default_str();
    app.add_option("--work", arguments.paths.work, "Folder for settings and logs")
        ->capture_default_str();
    app.add_option("--first-port", arguments.firstPort, "First of the loopback ports used")
        ->capture_default_str();
    app.add_option("--seed", arguments.workload.seed, "Seed of the load")->capture_default_str();
    app.add_option("--rate", arguments.workload.requestsPerSecond, "Requests a second")
        ->capture_default_str();
    app.add_option("--seconds", arguments.seconds, "Length of the load")->capture_default_str();
    app.require_subcommand(1);
    CLI::App *demo = app.add_subcommand("demo", "A normal day in short");
    CLI::App *write = app.add_subcommand("write", "Only write the settings of a fleet");
    CLI11_PARSE(app, argc, argv);
    try {
        if (*write) {
            FleetOptions options;
            options.firstPort = arguments.firstPort;
            options.proxied = false;
            const Trial trial(arguments.paths, options);
            std::cout << "Wrote settings to " << arguments.paths.work << ".\n";
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
