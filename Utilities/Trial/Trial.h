#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "Checker.h"
#include "Fleet.h"
#include "Workload.h"

namespace lycheearch::trial {

/// Paths of the programs, the deployment and the output of a trial.
struct TrialPaths
{
    std::string programs; ///< Build folder that contains Source/ and Utilities/.
    std::string deployment; ///< Folder with fleet.yaml and manifest.yaml.
    std::string work; ///< Folder for settings and logs. Its old content is deleted.
};

/// An end-to-end test run: starts a fleet of real processes, sends load, injects faults, runs the
/// operator's command-line tool, and collects the evidence that Checker examines. Operator actions
/// that limit where work may run, and graceful stops, are recorded in the evidence with their
/// wall-clock time. Methods that start, stop or configure something throw std::runtime_error on
/// failure.
class Trial
{
public:
    Trial(const TrialPaths &paths, FleetOptions options);
    /// Uses \p plan in place of the deployment's fleet.yaml.
    Trial(TrialPaths paths, FleetOptions options, FleetPlan plan);
    ~Trial();
    Trial(const Trial &) = delete;
    Trial &operator=(const Trial &) = delete;

    /// Starts the fleet, publishes the deployment's manifest and waits until every daemon is ready.
    /// Then starts the simulated load balancer and the polling of daemon status.
    void start();
    /// Does the same as start(), but without the load balancer and status polling, whose requests
    /// would distort a measurement of the fleet's control traffic.
    void startUnmonitored();
    Fleet &fleet() { return *m_fleet; }
    Evidence &evidence() { return m_evidence; }
    const Manifest &manifest() const { return m_manifest; }
    const std::string &manifestText() const { return m_manifestText; }
    Balancer &balancer() { return *m_balancer; }

    /// Runs the operator's command-line tool and returns its exit code; a negative value if a
    /// signal ended it or it timed out.
    int runTool(const std::vector<std::string> &arguments);
    /// Publishes a manifest with the operator's tool and waits until every running daemon has
    /// applied it. Returns the time that both took.
    Duration publish(const std::string &text);
    /// Waits until every running daemon has applied \p revision or a later one. Returns false on
    /// timeout.
    bool waitRevision(std::int64_t revision, Duration limit);

    /// Waits until the status of the last daemon lists at least \p count backend servers with
    /// \p version loaded in each data centre. Returns false on timeout.
    bool waitReplicas(const std::string &version, int count, Duration limit);

    /// Takes a data centre out of service with the operator's tool.
    void takeDataCentreOut(const std::string &dataCentre);
    /// Puts a data centre back into service with the operator's tool.
    void putDataCentreBack(const std::string &dataCentre);
    /// Sends SIGTERM and waits for the exit. Throws if the exit code is not 0.
    void stopGracefully(const std::string &daemon);
    void killDaemon(const std::string &daemon);
    void restart(const std::string &daemon);
    /// Records that \p version is withdrawn from now on. The caller publishes the manifest.
    void versionWithdrawn(const std::string &version);
    /// Marks a backend server as leaving in the instance list.
    void markBackendLeaving(const std::string &backend);
    /// Sets the quality of \p version to 0, so that the simulated rating service scores all its
    /// answers as bad from now on.
    void makeAnswersBad(const std::string &version);
    /// Prints how many requests a version answered after makeAnswersBad(), and records the
    /// expectation that they were few. Call collectEvidence() first.
    void expectLimitedExposure();

    /// Runs a workload to its end and adds its records to the evidence.
    void load(const WorkloadSpec &spec);
    /// Counts an expectation of a scenario as checked, and records \p failureMessage if \p held is
    /// false.
    void expect(bool held, const std::string &failureMessage);
    /// Number of expectations checked so far.
    std::int64_t expectationCount() const { return m_expectationCount; }
    /// Messages of the expectations that failed.
    const std::vector<std::string> &failedExpectations() const { return m_failedExpectations; }
    const std::string &workPath() const { return m_paths.work; }
    void writeFile(const std::string &path, const std::string &text) const;

    /// Reads the journal of the stand-in and the billing stream into the evidence. Call
    /// waitUntilBilled() first: a bill that has not reached the log counts as missing.
    void collectEvidence();
    /// Waits until no running daemon has bills that are not in the log yet. Returns false on
    /// timeout.
    bool waitUntilBilled(Duration limit);

private:
    void pollRevisions();
    static std::int64_t wallMicroseconds();

    TrialPaths m_paths;
    Manifest m_manifest;
    std::string m_manifestText;
    std::unique_ptr<Fleet> m_fleet;
    std::unique_ptr<Balancer> m_balancer;
    Evidence m_evidence;
    std::vector<ExclusionPeriod> m_degradationPeriods;
    int m_publishCount = 0;
    std::int64_t m_expectationCount = 0;
    std::vector<std::string> m_failedExpectations;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    std::thread m_pollThread;
};

/// Prints the verdicts as a table. Returns true if no guarantee was violated.
bool printVerdicts(const std::vector<Verdict> &verdicts, std::ostream &out);
/// Prints the numbers of requests and their latencies by kind of request.
void printLoad(const std::vector<RequestRecord> &records, std::ostream &out);

} // namespace lycheearch::trial
