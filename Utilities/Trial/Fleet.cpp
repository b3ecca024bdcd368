#include "Fleet.h"

#include <csignal>
#include <fstream>
#include <stdexcept>
#include <thread>

#include "Adapters/HttpClient.h"

namespace lycheearch::trial {

namespace {

constexpr Duration ControlTimeout = 10s;
constexpr Duration StatusTimeout = 1s;
constexpr Duration ReadyPollInterval = 50ms;
constexpr Duration GracefulStopTimeout = 30s;
constexpr Duration StandInStartTimeout = 10s;
constexpr int HttpOk = 200;
const std::string PeerKey = "trial-peer-key-0123456789";
const std::string SessionKey = "trial-session-key-0123456789";
const std::string OperatorKey = "trial-operator-key-0123456789";

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

Fleet::Fleet(FleetPlan plan, Programs programs, FleetOptions options)
    : m_plan(std::move(plan))
    , m_programs(std::move(programs))
    , m_options(std::move(options))
    , m_nextPort(m_options.firstPort)
{
    assignIdsAndPorts();
    writeStandInSettings();
    std::ofstream(m_options.directory + "/secrets.yaml")
        << "peer_key: " << PeerKey << "\nsession_key: " << SessionKey
        << "\noperator_key: " << OperatorKey << "\n";
    for (FleetDaemon &daemon : m_daemons) {
        writeSettings(daemon);
    }
    writeToolSettings();
}

Fleet::~Fleet()
{
    stopAll(false);
}

std::string Fleet::operatorKey()
{
    return OperatorKey;
}

void Fleet::assignIdsAndPorts()
{
    m_platformPort = m_nextPort++;
    for (const DataCentrePlan &dataCentre : m_plan.dataCentres) {
        for (int i = 0; i < dataCentre.daemons; ++i) {
            FleetDaemon daemon;
            daemon.id = dataCentre.id + "-" + std::to_string(i + 1);
            daemon.dataCentre = dataCentre.id;
            daemon.address = {"127.0.0.1", m_nextPort++};
            daemon.peerPort = m_nextPort++;
            daemon.settingsPath = m_options.directory + "/" + daemon.id + ".yaml";
            m_daemons.push_back(std::move(daemon));
        }
    }
    if (!m_options.proxied) {
        return;
    }
    for (const DataCentrePlan &from : m_plan.dataCentres) {
        m_linkPorts[{from.id, ""}] = m_nextPort++;
        for (const FleetDaemon &to : m_daemons) {
            if (to.dataCentre != from.id) {
                m_linkPorts[{from.id, to.id}] = m_nextPort++;
            }
        }
    }
}

std::uint16_t Fleet::platformPortFor(const std::string &dataCentre) const
{
    const auto link = m_linkPorts.find({dataCentre, ""});
    return link == m_linkPorts.end() ? m_platformPort : link->second;
}

std::string Fleet::peerAddressFor(const FleetDaemon &from, const FleetDaemon &to) const
{
    const auto link = m_linkPorts.find({from.dataCentre, to.id});
    return loopback(link == m_linkPorts.end() ? to.peerPort : link->second);
}

void Fleet::writeStandInSettings()
{
    std::ofstream out(m_options.directory + "/world.yaml");
    out << "platform_port: " << m_platformPort << "\nentries:\n";
    for (const FleetDaemon &daemon : m_daemons) {
        out << "  - { id: " << daemon.id << ", data_centre: " << daemon.dataCentre
            << ", address: \"" << daemon.address.text() << "\", peer_address: \""
            << loopback(daemon.peerPort) << "\" }\n";
    }
    out << "backends:\n";
    std::size_t backendIndex = 0;
    for (const BackendGroup &group : m_plan.groups) {
        for (int i = 0; i < group.count; ++i) {
            const std::string &dataCentre =
                m_plan.dataCentres[backendIndex++ % m_plan.dataCentres.size()].id;
            out << "  - { id: " << group.prefix << "-" << i + 1 << ", kind: " << group.kind
                << ", data_centre: " << dataCentre << ", class: " << group.backendClass
                << ", service: \"" << group.service << "\", port: " << m_nextPort++
                << ", warm_limit: " << group.warmLimit << ", cold_limit: " << group.coldLimit
                << ", token_us: " << group.tokenMicroseconds
                << ", call_us: " << group.callMicroseconds
                << ", starts_cold: " << (group.startsCold ? "true" : "false") << ", versions: [";
            for (std::size_t v = 0; v < group.versions.size(); ++v) {
                out << (v == 0 ? "" : ", ") << group.versions[v];
            }
            out << "] }\n";
        }
    }
    out << "versions:\n";
    for (const VersionQuality &version : m_plan.versions) {
        out << "  - { id: " << version.id << ", quality: " << version.quality << " }\n";
    }
}

void Fleet::writeSettings(FleetDaemon &daemon)
{
    const std::string platform = loopback(platformPortFor(daemon.dataCentre));
    std::ofstream out(daemon.settingsPath);
    out << "instance: " << daemon.id << "\ndata_centre: " << daemon.dataCentre
        << "\nlisten: " << daemon.address.text() << "\npeer_listen: " << loopback(daemon.peerPort)
        << "\nsecrets_file: " << m_options.directory
        << "/secrets.yaml\nplatform:\n  log: " << platform << "\n  instance_list: " << platform
        << "\n  rating: " << platform << "\n  weight_store: " << platform << "\n";
    if (m_options.proxied) {
        out << "peer_addresses:\n";
        for (const FleetDaemon &peer : m_daemons) {
            if (peer.id != daemon.id) {
                out << "  - { instance: " << peer.id << ", address: \""
                    << peerAddressFor(daemon, peer) << "\" }\n";
            }
        }
    }
    out << m_options.extraSettings;
}

void Fleet::writeToolSettings() const
{
    std::ofstream out(toolSettingsPath());
    out << "log: " << loopback(m_platformPort) << "\nsecrets_file: " << m_options.directory
        << "/secrets.yaml\ndaemons:\n";
    for (const FleetDaemon &daemon : m_daemons) {
        out << "  - { instance: " << daemon.id << ", address: \"" << daemon.address.text()
            << "\" }\n";
    }
}

std::string Fleet::toolSettingsPath() const
{
    return m_options.directory + "/lycheearch.yaml";
}

Endpoint Fleet::platform() const
{
    return {"127.0.0.1", m_platformPort};
}

void Fleet::openProxies()
{
    for (const auto &[key, port] : m_linkPorts) {
        std::uint16_t target = m_platformPort;
        if (!key.toDaemon.empty()) {
            target = daemon(key.toDaemon).peerPort;
        }
        m_proxies[key] = std::make_unique<FaultProxy>(port, target);
    }
}

void Fleet::startStandIn()
{
    openProxies();
    m_standIn = std::make_unique<ChildProcess>(
        std::vector<std::string>{m_programs.standIn, m_options.directory + "/world.yaml"},
        m_options.directory + "/stand-in.log");
    for (Duration waited{}; waited < StandInStartTimeout; waited += ReadyPollInterval) {
        const auto answer =
            HttpClient(platform(), StatusTimeout).send({"GET", "/instances", "", ""});
        if (answer.ok()) {
            return;
        }
        std::this_thread::sleep_for(ReadyPollInterval);
    }
    throw std::runtime_error("the stand-in does not answer; see stand-in.log");
}

void Fleet::startDaemons()
{
    for (FleetDaemon &daemon : m_daemons) {
        startDaemon(daemon);
    }
}

void Fleet::startDaemon(FleetDaemon &daemon)
{
    daemon.process = std::make_unique<ChildProcess>(
        std::vector<std::string>{m_programs.daemon, "--config", daemon.settingsPath},
        m_options.directory + "/" + daemon.id + ".log");
}

void Fleet::waitReady(Duration limit)
{
    for (const FleetDaemon &daemon : m_daemons) {
        if (!daemon.process) {
            continue;
        }
        Duration waited{};
        while (true) {
            const nlohmann::json state = status(daemon);
            if (state.is_object() && state.value("ready", false)
                && state.value("claims_complete", false)) {
                break;
            }
            if (waited >= limit) {
                throw std::runtime_error(daemon.id + " did not become ready in time");
            }
            std::this_thread::sleep_for(ReadyPollInterval);
            waited += ReadyPollInterval;
        }
    }
}

void Fleet::stopAll(bool gracefully)
{
    for (FleetDaemon &daemon : m_daemons) {
        if (daemon.process && gracefully) {
            daemon.process->signal(SIGTERM);
        }
    }
    for (FleetDaemon &daemon : m_daemons) {
        if (daemon.process && gracefully) {
            daemon.process->wait(GracefulStopTimeout);
        }
        daemon.process.reset();
    }
    m_standIn.reset();
    m_proxies.clear();
}

FleetDaemon &Fleet::daemon(const std::string &id)
{
    for (FleetDaemon &daemon : m_daemons) {
        if (daemon.id == id) {
            return daemon;
        }
    }
    throw std::runtime_error("the fleet has no daemon " + id);
}

nlohmann::json Fleet::control(const nlohmann::json &action) const
{
    const auto answer =
        HttpClient(platform(), ControlTimeout).send({"POST", "/control", action.dump(), ""});
    if (!answer.ok() || answer.value().status != HttpOk) {
        throw std::runtime_error("the stand-in rejected " + action.dump());
    }
    return nlohmann::json::parse(answer.value().body);
}

void Fleet::setFault(const std::string &target, const std::string &name, std::int64_t value) const
{
    control({{"action", "fault"}, {"target", target}, {"name", name}, {"value", value}});
}

nlohmann::json Fleet::journal() const
{
    const auto answer = HttpClient(platform(), ControlTimeout).send({"GET", "/journal", "", ""});
    if (!answer.ok()) {
        throw std::runtime_error("the stand-in returned no journal: " + answer.failure().message);
    }
    return nlohmann::json::parse(answer.value().body).at("entries");
}

nlohmann::json Fleet::status(const FleetDaemon &daemon) const
{
    const auto answer = HttpClient(daemon.address, StatusTimeout)
                            .send({"GET", "/v1/operator/status", "", OperatorKey});
    if (!answer.ok()) {
        return nullptr;
    }
    return nlohmann::json::parse(answer.value().body, nullptr, false);
}

void Fleet::setPlatformLink(const std::string &dataCentre, LinkState state)
{
    m_proxies.at({dataCentre, ""})->setState(state);
}

void Fleet::setPeerLink(const std::string &first, const std::string &second, LinkState state)
{
    for (const auto &[key, proxy] : m_proxies) {
        if (key.toDaemon.empty()) {
            continue;
        }
        const std::string &target = daemon(key.toDaemon).dataCentre;
        const bool outbound = key.fromDataCentre == first && target == second;
        const bool inbound = key.fromDataCentre == second && target == first;
        if (outbound || inbound) {
            proxy->setState(state);
        }
    }
}

void Fleet::stallAllOpenConnections()
{
    for (const auto &[key, proxy] : m_proxies) {
        proxy->stallOpenConnections();
    }
}

std::int64_t Fleet::peerBytes() const
{
    std::int64_t forwardedBytes = 0;
    for (const auto &[key, proxy] : m_proxies) {
        forwardedBytes += key.toDaemon.empty() ? 0 : proxy->forwardedBytes();
    }
    return forwardedBytes;
}

} // namespace lycheearch::trial
