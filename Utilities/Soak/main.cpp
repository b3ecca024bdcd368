#include <csignal>
#include <iostream>

#include <CLI/CLI.hpp>

#include "ChildProcess.h"
#include "Soak.h"

using namespace lycheearch;

int main(int argc, char **argv)
{
    soak::SoakOptions options;
    std::uint64_t firstSeed = 1;
    int seeds = 1;
    int seconds = 15;
    CLI::App app("Runs daemons under random faults and checks the documented guarantees.");
    app.add_option("--build", options.buildFolder, "Build folder")->required();
    app.add_option("--replaced-build", options.replacedBuildFolder,
                   "Build folder of the daemons at the start; those of --build replace them one "
                   "after the other");
    app.add_option("--work", options.workFolder, "Folder for generated settings and logs")
        ->required();
    app.add_option("--seed", firstSeed, "First seed");
    app.add_option("--seeds", seeds, "Number of consecutive seeds to run");
    app.add_option("--seconds", seconds, "Duration of fault injection in seconds");
    app.add_flag("--drills", options.storeDrills, "The store also comes back from older copies");
    app.add_flag("--limits-and-crashes", options.limitsAndCrashes,
                 "Instead of other faults, servers name rate limits and a request crashes them");
    app.add_flag("--link-cuts", options.linkCuts,
                 "Instead of other faults, daemons lose their links to all backend servers");
    app.add_flag(
        "--brittle", options.brittle,
        "Instead of other faults, servers fall over if they must reject too many requests");
    app.add_flag("--idle-callers", options.idleCallers,
                 "Instead of other faults, daemons stand still beside callers that rest near the "
                 "idle timeout, and beside large configurations in quick succession");
    app.add_option("--callers", options.callersPerDaemon, "Callers of each daemon")
        ->check(CLI::Range(1, 60));
    app.add_option("--daemons", options.daemons, "Daemons")->check(CLI::Range(1, 60));
    app.add_option("--runners", options.backends, "Number of backend servers")
        ->check(CLI::Range(1, 60));
    app.add_option("--port", options.firstPort, "First of the loopback ports to use");
    app.footer("Exit codes: 0 all guarantees held, 1 at least one was violated.");
    CLI11_PARSE(app, argc, argv);
    trial::ChildProcess::killAllOnSignal();
    std::signal(SIGPIPE, SIG_IGN);
    options.faultDuration = std::chrono::seconds(seconds);
    const std::string work = options.workFolder;
    int failedSeeds = 0;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + static_cast<std::uint64_t>(seeds);
         ++seed) {
        options.seed = seed;
        options.workFolder = work + "/seed-" + std::to_string(seed);
        soak::Soak run(options);
        const auto violations = run.run();
        std::cout << "seed " << seed << ": " << run.requests() << " requests, "
                  << run.faultFreeServedShare() << " served after the faults, " << violations.size()
                  << " guarantee violations\n"
                  << run.keptConnections();
        for (std::size_t i = 0; i < violations.size() && i < 5; ++i) {
            std::cout << "  " << violations[i] << "\n";
        }
        failedSeeds += violations.empty() ? 0 : 1;
    }
    std::cout << seeds - failedSeeds << " passed, " << failedSeeds << " failed\n";
    return failedSeeds == 0 ? 0 : 1;
}
