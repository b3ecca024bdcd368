#pragma once

#include <memory>
#include <string>
#include <thread>

#include "AsyncServer.h"
#include "ChildProcess.h"
#include "PortLock.h"
#include "ProcessWatch.h"
#include "SimulatedStore.h"

namespace lycheearch::crowd {

/// Limits of the daemon under test and of its callers.
struct RouterLimits
{
    int memoryMegabytes = 64; ///< Of the process.
    int descriptors = 0; ///< Of the process; 0: as many as the test may open.
    std::size_t headBytes = 16UL * 1024;
    std::size_t bodyBytes = 2UL * 1024 * 1024;
    Duration headTimeout = 60s;
    Duration idleTimeout = 60s;
};

/// One daemon of the platform as a real process, with a simulated store and one backend server in
/// this process. The backend server answers at once, with a megabyte below /large/, and never below
/// /held/. Only one can exist at a time on a machine: others wait.
class RouterProcess
{
public:
    /// Starts the daemon and waits until it answers.
    explicit RouterProcess(const RouterLimits &limits);
    ~RouterProcess();
    RouterProcess(const RouterProcess &) = delete;
    RouterProcess &operator=(const RouterProcess &) = delete;

    Endpoint callers() const { return port(1); }
    Endpoint readiness() const { return port(2); }
    Endpoint metrics() const { return port(3); }
    Endpoint feed() const { return port(4); }
    Endpoint relay() const { return port(5); }

    /// Checks that the process lives, that it never held more than its memory and descriptors, and
    /// that it answers an ordinary request now.
    void expectHealthy();
    /// Sends one request on a new connection. Returns the status, or 0 without an answer.
    int sendRequest(const std::string &path, const std::string &body) const;
    /// Sends ordinary requests until one is served, at most \p tries with pauses.
    bool servesOrdinaryRequest(int tries) const;

private:
    Endpoint port(int offset) const;
    void onBackendRequest(const std::shared_ptr<soak::AsyncServer::Connection> &connection,
                          const HttpRequestHead &head);
    void publishConfig();
    void publishServer();
    void startDaemon();

    RouterLimits m_limits;
    PortLock m_ports;
    std::string m_folder;
    SystemClock m_clock;
    EventLoop m_loop;
    std::unique_ptr<soak::SimulatedStore> m_store;
    std::unique_ptr<soak::AsyncServer> m_backend;
    std::thread m_thread; ///< Runs the loop of the store and the server.
    std::unique_ptr<trial::ChildProcess> m_process;
    std::unique_ptr<ProcessWatch> m_watch;
};

} // namespace lycheearch::crowd
