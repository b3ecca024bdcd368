#pragma once

#include <memory>

#include "Base/Error.h"
#include "Config/Settings.h"

namespace lycheearch {

/// One entry instance: builds all parts, joins them, and runs their threads.
class Daemon
{
public:
    explicit Daemon(Settings settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Starts all threads and listens. Returns the failure if a port cannot be had.
    Status start();
    /// Graceful shutdown: goes not ready, waits for the balancer, finishes what runs, and hands
    /// bills over. Returns the number of bills that no other process holds.
    std::size_t stop();

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace lycheearch
