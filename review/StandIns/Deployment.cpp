#include "Deployment.h"

#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Net/Socket.h"

namespace lycheearch::review {

namespace {

constexpr Duration ReadyTimeout = 15s;
constexpr Duration ReadyCheckPeriod = 100ms;
constexpr int Ok = 200;
constexpr int NetworkCount = 60'000;
constexpr int ByteValues = 256;
/// The deploy file's template puts the metrics on this port.
constexpr std::uint16_t MetricsPort = 9100;

bool isFree(const Endpoint &endpoint)
{
    std::error_code error;
    const int fd = listenTcp(endpoint, error);
    if (fd >= 0) {
        close(fd);
    }
    return fd >= 0;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string fillTemplate(std::string text, const std::map<std::string, std::string> &values)
{
    for (const auto &[name, value] : values) {
        const std::string placeholder = "{{" + name + "}}";
        for (std::size_t at = text.find(placeholder); at != std::string::npos;
             at = text.find(placeholder)) {
            text.replace(at, placeholder.size(), value);
        }
    }
    return text;
}

} // namespace

CaseOptions CaseOptions::parse(int argc, char **argv)
{
    constexpr int argumentCount = 5;
    if (argc != argumentCount) {
        std::cerr << "usage: " << argv[0] << " ROOT WORK RECORD TROUBLE\n";
        std::exit(CouldNotRun);
    }
    return {argv[1], argv[2], argv[3], std::string(argv[4]) != "0"};
}

Deployment::Deployment(EventLoop &loop, Record &record, CaseOptions options)
    : m_loop(loop)
    , m_record(record)
    , m_options(std::move(options))
    , m_network(ByteValues + getpid() % NetworkCount)
    , m_platformHost(hostAddress())
    , m_client(loop)
{
    m_storeAddress = freeAddress();
    m_store = std::make_unique<soak::SimulatedStore>(loop, m_storeAddress);
}

std::string Deployment::hostAddress()
{
    ++m_hosts;
    return "127." + std::to_string(m_network / ByteValues) + "."
        + std::to_string(m_network % ByteValues) + "." + std::to_string(m_hosts);
}

Endpoint Deployment::freeEndpoint(const std::string &host) const
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    socklen_t length = sizeof address;
    bind(fd, reinterpret_cast<sockaddr *>(&address), length);
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length);
    close(fd);
    return {host, ntohs(address.sin_port)};
}

Endpoint Deployment::freeAddress() const
{
    return freeEndpoint(m_platformHost);
}

void Deployment::publishConfig(const nlohmann::json &routes, const nlohmann::json &services)
{
    const nlohmann::json config = {
        {"Version", ++m_configVersion},
        {"Routes", routes},
        {"Services", services},
        {"Limits",
         {{"MaxHeaderBytes", 16384},
          {"MaxBodyBytes", 4194304},
          {"HeaderTimeoutMs", 3000},
          {"IdleTimeoutMs", 15000}}},
        {"Tenants", {{{"Name", Tenant}, {"ApiKeys", {Key}}, {"Priority", 1}}}}};
    m_store->appendRecord("keyed.op", "config", config.dump());
}

Runner &Deployment::addRunner(const std::string &service, const std::string &zone,
                              Runner::Handler handler, int slots)
{
    const std::string id = "i-" + std::to_string(m_runners.size() + 1);
    m_runners.push_back(std::make_unique<Runner>(
        m_loop, *m_store, m_record, RunnerEntry{id, service, zone, freeAddress(), slots},
        std::move(handler)));
    return *m_runners.back();
}

DaemonNode &Deployment::addDaemon(const std::string &zone)
{
    auto daemon = std::make_unique<DaemonNode>();
    std::string host = hostAddress();
    while (!isFree({host, MetricsPort})) {
        host = hostAddress();
    }
    daemon->name = "front-" + zone + "-" + std::to_string(m_daemons.size() + 1);
    daemon->zone = zone;
    daemon->front = freeEndpoint(host);
    daemon->ready = freeEndpoint(host);
    daemon->settingsPath = m_options.work + "/" + daemon->name + ".yaml";
    std::ofstream(daemon->settingsPath)
        << fillTemplate(readFile(m_options.root + "/deploy/settings.yaml"),
                        {{"Node", daemon->name},
                         {"Zone", zone},
                         {"Bind.Front", daemon->front.text()},
                         {"Bind.Ready", daemon->ready.text()},
                         {"Ip", host},
                         {"PortRange.0", std::to_string(freeEndpoint(host).port)},
                         {"PortRange.1", std::to_string(freeEndpoint(host).port)},
                         {"Platform.Address", m_storeAddress.text()},
                         {"Limits.MemoryMb", "260"},
                         {"Bounds.DrainMs", "2000"},
                         {"Bounds.GraceS", "8"},
                         {"Bounds.ConfigApplyMs", "2000"},
                         {"Bounds.BudgetWindowS", "10"},
                         {"Bounds.RetryBudgetRatio", "0.9"},
                         {"Bounds.RetrySlack", "54"},
                         {"Bounds.ExposeShare", "0.15"},
                         {"Bounds.ExposureSlack", "30"},
                         {"Bounds.ColdOvershoot", "1.5"},
                         {"Bounds.ColdSlack", "5"}});
    daemon->process = std::make_unique<trial::ChildProcess>(
        std::vector<std::string>{m_options.root + "/target/Source/lycheearchd", "--platform",
                                 "--config", daemon->settingsPath},
        m_options.work + "/" + daemon->name + ".log");
    m_daemons.push_back(std::move(daemon));
    return *m_daemons.back();
}

bool Deployment::waitUntilReady()
{
    const TimePoint end = m_loop.now() + ReadyTimeout;
    while (m_loop.now() < end) {
        std::size_t ready = 0;
        for (const auto &daemon : m_daemons) {
            Request request;
            request.method = "GET";
            request.target = "/-/readiness";
            request.fields.add("Host", daemon->ready.text());
            request.timeLimit = ReadyCheckPeriod;
            m_client.send(daemon->ready, request,
                          [&ready](const Answer &answer) { ready += answer.status == Ok ? 1 : 0; });
        }
        runFor(2 * ReadyCheckPeriod);
        if (ready == m_daemons.size()) {
            m_record.write("all daemons are ready");
            return true;
        }
    }
    return false;
}

void Deployment::runFor(Duration time)
{
    m_loop.at(m_loop.now() + time, [this](TimePoint) { m_loop.stop(); });
    m_loop.run();
    m_loop.resume();
}

HttpFields Deployment::requestFields(const std::string &id, Duration timeLimit)
{
    HttpFields fields;
    fields.add("Host", Host);
    fields.add("Attempt-Id", id);
    fields.add("Api-Key", Key);
    fields.add("Time-Budget-Ms", std::to_string(toMilliseconds(timeLimit)));
    return fields;
}

} // namespace lycheearch::review
