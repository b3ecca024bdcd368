#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "Checker.h"
#include "Fleet.h"
#include "Workload.h"

namespace lycheearch::trial {

/// Where a trial finds its programs and its deployment.
struct TrialPaths
{
    std::string programs; ///< Build folder.
    std::string deployment; ///< Folder with fleet.yaml and manifest.yaml.
    std::string work; ///< Receives settings and logs.
};

/// Runs a fleet, drives the operator's tool, and gathers evidence.
class Trial
{
public:
    Trial(const TrialPaths &paths, FleetOptions options);
    /// As above, with another fleet than the deployment's.
    Trial(TrialPaths paths, FleetOptions options, FleetPlan plan);
    ~Trial();
    Trial(const Trial &) = delete;
    Trial &operator=(const Trial &) = delete;

    /// Starts everything and publishes the deployment's manifest.
    void start();
    /// As start(), but nothing watches the fleet, so that its own traffic can be measured.
    void startQuietly();
    Fleet &fleet() { return *m_fleet; }
    Evidence &evidence() { return m_evidence; }
    const Manifest &manifest() const { return m_manifest; }
    const std::string &manifestText() const { return m_manifestText; }
    Balancer &balancer() { return *m_balancer; }

    /// Runs the operator's tool and returns its exit code.
    int runTool(const std::vector<std::string> &arguments);
    /// Publishes a manifest and waits until it is in force in every running daemon. Returns the
    /// time that took.
    Duration publish(const std::string &text);
    /// Waits until the configuration in every running daemon has \p revision.
    bool waitRevision(std::int64_t revision, Duration limit);

    /// Waits until engines of every data centre have \p version loaded, \p count in each.
    bool waitReplicas(const std::string &version, int count, Duration limit);

    void takeOut(const std::string &dataCentre);
    void bringBack(const std::string &dataCentre);
    void stopGracefully(const std::string &daemon);
    void killDaemon(const std::string &daemon);
    void restart(const std::string &daemon);
    void withdrawn(const std::string &version);
    void leaving(const std::string &backend);
    /// Makes every answer of a version bad from now on.
    void turnBad(const std::string &version);
    /// Expects that few callers got the answer of a version that turned bad. Called after
    /// collect().
    void expectFewExposed();

    /// Sends a load and adds its records to the evidence.
    void load(const WorkloadSpec &spec);
    /// Notes whether something that a cell expects came true.
    void expect(bool held, const std::string &otherwise);
    std::int64_t expected() const { return m_expected; }
    const std::vector<std::string> &unexpected() const { return m_unexpected; }
    const std::string &workPath() const { return m_paths.work; }
    void writeFile(const std::string &path, const std::string &text) const;

    /// Reads journal and ledger. Called when all bills had time to reach the log.
    void collect();
    /// Waits until no running daemon has bills waiting.
    bool waitBilled(Duration limit);

private:
    void watchRevisions();
    static std::int64_t wallMicroseconds();

    TrialPaths m_paths;
    Manifest m_manifest;
    std::string m_manifestText;
    std::unique_ptr<Fleet> m_fleet;
    std::unique_ptr<Balancer> m_balancer;
    Evidence m_evidence;
    std::vector<ClosedPeriod> m_turnedBad;
    int m_published = 0;
    std::int64_t m_expected = 0;
    std::vector<std::string> m_unexpected;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    std::thread m_watcher;
};

/// The verdicts as a table; returns whether all promises held.
bool printVerdicts(const std::vector<Verdict> &verdicts, std::ostream &out);
/// Latencies and outcomes by kind of request.
void printLoad(const std::vector<RequestRecord> &records, std::ostream &out);

} // namespace lycheearch::trial
