#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Caller.h"
#include "Deployment.h"
#include "Runner.h"
#include "Store.h"

namespace review {

/// A small deployment: a store, daemons in three zones and runners of two services. "pool" serves
/// the streams of the route /draft/, "desk" the bookings of /book/ and the lookups of /look/, with
/// figures like those of sitara-ho.
class Fleet
{
public:
    Fleet(const Folders &folders, Record &record, const Site &site, int daemons,
          Store::AppendCallback onAppend = {});

    /// Adds a runner and registers it. The zones are dealt in turn.
    Runner &addRunner(const std::string &service, Runner::Answer answer,
                      const std::string &version = "v1");
    /// Adds runners of "desk" that answer each request after \p work.
    void addDesk(int runners, Milliseconds work);
    /// Starts the daemons and waits until all are ready and in touch. Exits with 2 if they aren't.
    void start();
    void stop();

    Store &store() { return m_store; }
    Daemon &daemon(std::size_t i) { return *m_daemons.at(i); }
    std::size_t daemons() const { return m_daemons.size(); }
    /// Writes the processor time and the memory of each daemon to the record.
    void recordUse();

private:
    const Site m_site;
    Record &m_record;
    Store m_store;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<std::unique_ptr<Runner>> m_runners;
};

constexpr int BookingTimeoutMs = 800; ///< TimeoutMs of the route.
constexpr int BookingBudgetMs = 1500;

/// Clients with one booking after the other at each daemon, from construction until end().
class Bookings
{
public:
    Bookings(Fleet &fleet, Record &record, int clientsOfEach, Milliseconds pause);

    LateCounts end();

private:
    void run(std::size_t daemon, int client);

    Fleet &m_fleet;
    Record &m_record;
    Milliseconds m_pause;
    std::atomic<bool> m_ends = false;
    std::mutex m_mutex;
    LateCounts m_counts;
    std::vector<std::thread> m_threads;
};

} // namespace review
