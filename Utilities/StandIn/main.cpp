#include <csignal>
#include <iostream>

#include <Poco/Exception.h>

#include "BackendFace.h"
#include "PlatformFace.h"
#include "StandInWorld.h"

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
    StandInWorld world(path);
    Poco::ThreadPool threads(MinThreads, MaxThreads);
    PlatformFace platform(world);
    std::vector<std::unique_ptr<BackendFace>> faces;
    std::vector<std::unique_ptr<Poco::Net::HTTPServer>> servers;
    const auto add = [&](std::uint16_t port, RequestFunction function) {
        servers.push_back(serve(port, threads, std::move(function)));
    };
    for (const auto &backend : world.backends()) {
        faces.push_back(std::make_unique<BackendFace>(*backend));
        BackendFace *face = faces.back().get();
        add(backend->spec().port,
            [face](auto &request, auto &response) { face->handle(request, response); });
    }
    add(world.platformPort(),
        [&](auto &request, auto &response) { platform.handle(request, response); });
    std::cout << "stand-in ready" << std::endl;
    waitForStop(signals);
    for (const auto &server : servers) {
        server->stopAll(true);
    }
    std::_Exit(EXIT_SUCCESS); // Without waiting for handlers that an injected delay holds.
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
