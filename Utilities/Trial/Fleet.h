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

/// Where the programs of a build are.
struct Programs
{
    std::string daemon;
    std::string standIn;
};

/// How a fleet is laid out.
struct FleetOptions
{
    std::string directory; ///< Receives settings and logs.
    std::uint16_t firstPort = 21000;
    bool proxied = true; ///< Whether links can be faulted.
    std::string extraSettings; ///< Lines appended to the settings of every daemon.
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

/// A stand-in and a number of daemons as real processes, with proxies on the links between data
/// centres, and from data centres to the platform.
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
    /// Waits until every running daemon is ready. Throws std::runtime_error if one is not in time.
    void waitReady(Duration limit);
    /// Ends all processes, gracefully if asked.
    void stopAll(bool gracefully);

    std::vector<FleetDaemon> &daemons() { return m_daemons; }
    FleetDaemon &daemon(const std::string &id);
    Endpoint platform() const;
    /// Path of the settings of the command-line tool.
    std::string toolSettingsPath() const;
    static std::string operatorKey();
    const FleetPlan &plan() const { return m_plan; }
    ChildProcess &standIn() { return *m_standIn; }

    /// Sends an action to the stand-in's control path.
    nlohmann::json control(const nlohmann::json &action) const;
    void setFault(const std::string &target, const std::string &name, std::int64_t value) const;
    nlohmann::json journal() const;
    /// Status of a daemon; null if it does not answer.
    nlohmann::json status(const FleetDaemon &daemon) const;

    void setPlatformLink(const std::string &dataCentre, LinkState state);
    /// Both directions between two data centres.
    void setPeerLink(const std::string &first, const std::string &second, LinkState state);
    void silenceLinks();
    /// Bytes that passed the links of peers so far.
    std::int64_t peerBytes() const;

private:
    void layOut();
    void writeWorld();
    void writeSettings(FleetDaemon &daemon);
    void writeToolSettings() const;
    void openProxies();
    std::string peerAddressFor(const FleetDaemon &from, const FleetDaemon &to) const;
    std::uint16_t platformPortFor(const std::string &dataCentre) const;

    /// A link from one data centre to one daemon, or to the platform if that is empty.
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
