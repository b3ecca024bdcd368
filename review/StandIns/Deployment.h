#pragma once

#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "ChildProcess.h"
#include "Client.h"
#include "Record.h"
#include "Runner.h"
#include "SimulatedStore.h"

namespace lycheearch::review {

/// Arguments of the program of a case.
struct CaseOptions
{
    std::string root; ///< Folder of the repository.
    std::string work; ///< Temporary folder for settings and logs.
    std::string record; ///< File for the record.
    bool trouble = true; ///< False: play without the disruption.

    /// Reads the arguments ROOT WORK RECORD TROUBLE.
    static CaseOptions parse(int argc, char **argv);
};

/// The exit status of a case.
enum CaseResult { RuleHeld = 0, RuleBroken = 1, CouldNotRun = 2 };

/// One daemon of the deployment: a separate process, started with the command of the deploy file.
struct DaemonNode
{
    std::string name;
    std::string zone;
    std::string settingsPath;
    Endpoint front;
    Endpoint ready;
    std::unique_ptr<trial::ChildProcess> process;
};

/// A small deployment on loopback addresses: the store, daemons, and runners.
class Deployment
{
public:
    /// The tenant of the configuration and its key.
    static constexpr const char *Tenant = "acme";
    static constexpr const char *Key = "key-of-acme";
    static constexpr const char *Host = "front.example";

    Deployment(EventLoop &loop, Record &record, CaseOptions options);

    soak::SimulatedStore &store() { return *m_store; }
    Client &client() { return m_client; }
    const std::vector<std::unique_ptr<DaemonNode>> &daemons() const { return m_daemons; }
    const std::vector<std::unique_ptr<Runner>> &runners() const { return m_runners; }

    /// A free address at the host of the store and the runners.
    Endpoint freeAddress() const;
    void publishConfig(const nlohmann::json &routes, const nlohmann::json &services);
    Runner &addRunner(const std::string &service, const std::string &zone, Runner::Handler handler,
                      int slots = 16);
    /// Starts a daemon. If \p store is given, the daemon reaches the store there.
    DaemonNode &addDaemon(const std::string &zone);
    /// Runs the event loop until all daemons report that they are ready. Returns false if they are
    /// not within 15 s.
    bool waitUntilReady();
    /// Runs the event loop for \p time.
    void runFor(Duration time);
    /// The fields of a client's request.
    static HttpFields requestFields(const std::string &id, Duration timeLimit);

private:
    std::string hostAddress();
    Endpoint freeEndpoint(const std::string &host) const;

    EventLoop &m_loop;
    Record &m_record;
    CaseOptions m_options;
    int m_network; ///< Second and third byte of the loopback hosts.
    int m_hosts = 0;
    std::string m_platformHost;
    int m_configVersion = 0;
    std::unique_ptr<soak::SimulatedStore> m_store;
    Endpoint m_storeAddress;
    Client m_client;
    std::vector<std::unique_ptr<Runner>> m_runners;
    std::vector<std::unique_ptr<DaemonNode>> m_daemons;
};

} // namespace lycheearch::review
