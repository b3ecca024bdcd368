#pragma once

#include <memory>

#include "Base/Error.h"
#include "Config/Settings.h"

namespace lycheearch {

/// The daemon of one instance, for deployments whose platform has the HTTP services that
/// docs/PLATFORM.md describes; RouterDaemon is the daemon for platforms with a record store. Owns
/// all components, connects them and runs their threads.
class Daemon
{
public:
    explicit Daemon(Settings settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Starts all threads and listening sockets. Returns a failure if a port can't be opened.
    Status start();
    /// Shuts down gracefully: reports not ready, waits for the configured lag of the load balancer,
    /// finishes the running requests, and appends the pending bills to the log until each bill is
    /// in the log or held by a peer. Requests and bills get up to the configured drain timeout
    /// each. Returns the number of bills that only this process holds.
    std::size_t stop();

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace lycheearch
