#include <csignal>
#include <iostream>

#include <malloc.h>

#include <CLI/CLI.hpp>

#include "Base/Logger.h"
#include "Config/Manifest.h"
#include "Config/Settings.h"
#include "Daemon/Daemon.h"
#include "Daemon/RouterDaemon.h"
#include "platform/PlatformAdapter.h"

using namespace lycheearch;

namespace {

enum ExitCode { Success = 0, Failed = 1, BadSettings = 2, SingleCopyBills = 3 };

/// Runs the daemon until SIGTERM or SIGINT, which must be blocked in all threads.
int runDaemon(const Settings &settings, const sigset_t &signals)
{
    Daemon daemon(settings);
    if (const Status failure = daemon.start()) {
        std::cerr << "lycheearchd: " << failure->message << "\n";
        return Failed;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    return daemon.stop() == 0 ? Success : SingleCopyBills;
}

/// Runs the router daemon on the platform's store until SIGTERM or SIGINT. With \p checkOnly, only
/// checks the settings.
int runRouter(const std::string &path, bool checkOnly)
{
    const auto load = [path](Findings &findings) {
        RouterSettings settings = loadRouterSettings(path, findings);
        settings.traits = platform::deploymentTraits(settings.terms);
        return settings;
    };
    Findings findings;
    RouterSettings settings = load(findings);
    if (!findings.empty()) {
        std::cerr << findings.text();
        return BadSettings;
    }
    if (checkOnly) {
        std::cout << path << ": the settings are valid.\n";
        return Success;
    }
    RouterDaemon daemon(std::move(settings), load, platform::makeStore, platform::recordCodec(),
                        platform::requestHeaderCodec());
    const std::string failure = daemon.start();
    if (!failure.empty()) {
        std::cerr << "lycheearchd: " << failure << "\n";
        return Failed;
    }
    daemon.run();
    return Success;
}

/// Makes the allocator return the memory of large bodies when they are freed. By default, it keeps
/// more of it the larger the bodies have been.
void configureAllocator()
{
    constexpr int mapThresholdBytes = 128 * 1024;
    constexpr int maxArenas = 4;
    mallopt(M_MMAP_THRESHOLD, mapThresholdBytes);
    mallopt(M_ARENA_MAX, maxArenas);
}

} // namespace

int main(int argc, char **argv)
{
    configureAllocator();
    CLI::App app("Model-aware router for versions and cascades: the daemon of one instance.");
    std::string path;
    bool checkOnly = false;
    bool describe = false;
    app.add_option("--config", path, "Settings file in YAML");
    app.add_flag("--check-config", checkOnly, "Check the settings and exit");
    app.add_flag("--describe-config", describe, "Print the settings reference and exit");
    bool onPlatform = false;
    app.add_flag("--platform", onPlatform, "Run on the platform's store, with router settings");
    app.footer(
        "Exit codes: 0 success, 1 failure to start, 2 invalid settings, 3 stopped with bills\n"
        "that no other process holds.");
    CLI11_PARSE(app, argc, argv);
    if (describe) {
        std::cout << (onPlatform ? routerSettingsReference() : settingsReference());
        return Success;
    }
    if (onPlatform && !path.empty()) {
        return runRouter(path, checkOnly);
    }
    Findings findings;
    if (path.empty()) {
        findings.add("--config", "nothing", "the path of a settings file");
    }
    const Settings settings = path.empty() ? Settings() : loadSettings(path, findings);
    if (!findings.empty()) {
        std::cerr << findings.text();
        return BadSettings;
    }
    if (checkOnly) {
        std::cout << path << ": the settings are valid.\n";
        return Success;
    }
    Logger::configure(settings.instance.value(), settings.logLevel);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return runDaemon(settings, signals);
}
