#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Base/Endpoint.h"
#include "Base/Error.h"
#include "ChildProcess.h"
#include "FaultProxy.h"
#include "FleetPlan.h"

namespace lycheearch::trial {

/// Paths of the programs that a fleet runs.
struct Programs
{
    std::string daemon;
    std::string standIn;
};

/// Options of a fleet.
struct FleetOptions
{
    std::string directory; ///< Folder for settings and logs.
    std::uint16_t firstPort = 21000; ///< First of the consecutive loopback ports that are used.
    bool proxied = true; ///< Routes the links through fault proxies.
    std::string extraSettings; ///< Appended to the settings file of every daemon.
};

/// One daemon of a fleet.
struct FleetDaemon
{
    std::string id;
    std::string dataCentre;
    Endpoint address;
    std::uint16_t peerPort = 0;
    std::string settingsPath;
    std::unique_ptr<ChildProcess> process;
};

/// A fleet of daemons as real processes, with a stand-in process that simulates the platform and
/// the backend servers. Fault proxies on the links between data centres, and from data centres to
/// the platform, inject partitions and stalled connections.
class Fleet
{
public:
    Fleet(FleetPlan plan, Programs programs, FleetOptions options);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    void startStandIn();
    void startDaemons();
    void startDaemon(FleetDaemon &daemon);
    /// Waits until every started daemon is ready and has all claims. Throws std::runtime_error if
    /// one is not ready after \p limit.
    void waitReady(Duration limit);
    /// Ends all processes. With \p gracefully, daemons get SIGTERM and time to finish; otherwise
    /// they are killed.
    void stopAll(bool gracefully);

    std::vector<FleetDaemon> &daemons() { return m_daemons; }
    /// Throws std::runtime_error if the fleet has no such daemon.
    FleetDaemon &daemon(const std::string &id);
    /// Address of the simulated platform services, without a proxy.
    Endpoint platform() const;
    /// Path of the settings file of the operator's command-line tool.
    std::string toolSettingsPath() const;
    static std::string operatorKey();
    const FleetPlan &plan() const { return m_plan; }
    ChildProcess &standIn() { return *m_standIn; }

    /// Sends an action to the control endpoint of the stand-in and returns the answer. Throws
    /// std::runtime_error if the request fails or the stand-in rejects the action.
    nlohmann::json control(const nlohmann::json &action) const;
    /// Sets a named fault of backend server \p target, or of the platform if that is empty. A value
    /// of 0 turns it off.
    void setFault(const std::string &target, const std::string &name, std::int64_t value) const;
    /// Returns the entries of the stand-in's journal: the requests that backend servers started to
    /// run so far. Throws std::runtime_error on failure.
    nlohmann::json journal() const;
    /// Returns the operator status of a daemon; a value that is not an object if the daemon does
    /// not answer.
    nlohmann::json status(const FleetDaemon &daemon) const;

    /// Sets the state of the link from a data centre to the platform.
    void setPlatformLink(const std::string &dataCentre, LinkState state);
    /// Sets the state of the links between two data centres, in both directions.
    void setPeerLink(const std::string &first, const std::string &second, LinkState state);
    /// Permanently stops forwarding on all proxied connections that are open now, without closing
    /// them. Connections opened later work.
    void stallAllOpenConnections();
    /// Bytes forwarded on the links between data centres so far.
    std::int64_t peerBytes() const;

private:
    void assignIdsAndPorts();
    void writeStandInSettings();
    void writeSettings(FleetDaemon &daemon);
    void writeToolSettings() const;
    void openProxies();
    std::string peerAddressFor(const FleetDaemon &from, const FleetDaemon &to) const;
    std::uint16_t platformPortFor(const std::string &dataCentre) const;

    /// A link from a data centre to a daemon, or to the platform if toDaemon is empty.
    struct LinkKey
    {
        std::string fromDataCentre;
        std::string toDaemon;
        auto operator<=>(const LinkKey &) const = default;
    };

    FleetPlan m_plan;
    Programs m_programs;
    FleetOptions m_options;
    std::uint16_t m_nextPort;
    std::uint16_t m_platformPort = 0;
    std::vector<FleetDaemon> m_daemons;
    std::map<LinkKey, std::uint16_t> m_linkPorts;
    std::map<LinkKey, std::unique_ptr<FaultProxy>> m_proxies;
    std::unique_ptr<ChildProcess> m_standIn;
};

} // namespace lycheearch::trial
