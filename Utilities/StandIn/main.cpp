#include <csignal>
#include <iostream>

#include <Poco/Exception.h>

#include "BackendHandler.h"
#include "PlatformHandler.h"
#include "StandInEnvironment.h"

using namespace lycheearch::standin;

namespace {

constexpr int MinThreads = 16;
constexpr int MaxThreads = 4096;

/// Waits for SIGTERM or SIGINT. All threads must have blocked them.
void waitForStop(const sigset_t &signals)
{
    int signal = 0;
    sigwait(&signals, &signal);
}

/// Serves the environment that the file \p path describes until a signal arrives.
void run(const std::string &path, const sigset_t &signals)
{
    StandInEnvironment environment(path);
    Poco::ThreadPool threads(MinThreads, MaxThreads);
    PlatformHandler platform(environment);
    std::vector<std::unique_ptr<BackendHandler>> backendHandlers;
    std::vector<std::unique_ptr<Poco::Net::HTTPServer>> servers;
    const auto add = [&](std::uint16_t port, RequestFunction function) {
        servers.push_back(startHttpServer(port, threads, std::move(function)));
    };
    for (const auto &backend : environment.backends()) {
        backendHandlers.push_back(std::make_unique<BackendHandler>(*backend));
        BackendHandler *backendHandler = backendHandlers.back().get();
        add(backend->spec().port, [backendHandler](auto &request, auto &response) {
            backendHandler->handle(request, response);
        });
    }
    add(environment.platformPort(),
        [&](auto &request, auto &response) { platform.handle(request, response); });
    std::cout << "stand-in ready" << std::endl;
    waitForStop(signals);
    for (const auto &server : servers) {
        server->stopAll(true);
    }
    std::_Exit(EXIT_SUCCESS); // Does not wait for handlers that an injected fault delays.
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: lycheearch-standin WORLD.yaml\n";
        return 2;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    try {
        run(argv[1], signals);
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
    return 0;
}
