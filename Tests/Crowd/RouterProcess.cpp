#include "RouterProcess.h"

#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <stdexcept>

#include <nlohmann/json.hpp>
#include <sys/resource.h>

#include "Crowd.h"

namespace lycheearch::crowd {

namespace {

constexpr std::uint16_t FirstPort = 26000;
constexpr int Ok = 200;
constexpr int ServerOffset = 10;
constexpr std::int64_t BytesPerMegabyte = 1024L * 1024;
constexpr std::size_t LargeAnswerBytes = 1024UL * 1024;
constexpr Duration AnswerLimit = 10s;
constexpr int OrdinaryTries = 8;
/// Of the body of an ordinary request.
constexpr std::size_t OrdinaryBytes = 4096;
constexpr Duration TryPause = 500ms;
/// Descriptors that must be left for the servers, the store and other daemons.
constexpr int DescriptorsLeft = 32;

nlohmann::json route(const char *path)
{
    return {{"Name", path},         {"Host", "h.example"}, {"PathPrefix", path},
            {"Kind", "idempotent"}, {"TimeoutMs", 60'000}, {"TargetLatencyMs", 1000},
            {"Service", "s"},       {"MaxAttempts", 2}};
}

/// Sets the soft limit of open descriptors. Returns the previous one.
rlim_t setDescriptorLimit(rlim_t limit)
{
    rlimit limits{};
    getrlimit(RLIMIT_NOFILE, &limits);
    const rlim_t previous = limits.rlim_cur;
    limits.rlim_cur = limit;
    setrlimit(RLIMIT_NOFILE, &limits);
    return previous;
}

} // namespace

RouterProcess::RouterProcess(const RouterLimits &limits)
    : m_limits(limits)
    , m_ports(FirstPort)
    , m_folder(std::string(LYCHEEARCH_BUILD_DIR) + "/test-crowd")
    , m_loop(m_clock)
{
    std::filesystem::create_directories(m_folder);
    m_store = std::make_unique<soak::SimulatedStore>(m_loop, port(0));
    publishConfig();
    m_backend = std::make_unique<soak::AsyncServer>(
        m_loop, port(ServerOffset),
        [this](const auto &connection, const HttpRequestHead &head, const std::string &) {
            onBackendRequest(connection, head);
        });
    publishServer();
    m_thread = std::thread([this] { m_loop.run(); });
    startDaemon();
    m_watch = std::make_unique<ProcessWatch>(
        m_process->id(),
        std::set<std::uint16_t>{callers().port, readiness().port, metrics().port, feed().port,
                                relay().port});
    if (!servesOrdinaryRequest(OrdinaryTries)) {
        throw std::runtime_error("the daemon does not answer");
    }
}

RouterProcess::~RouterProcess()
{
    m_watch.reset();
    m_process.reset();
    m_loop.stop();
    m_thread.join();
}

Endpoint RouterProcess::port(int offset) const
{
    return {"127.0.0.1", static_cast<std::uint16_t>(FirstPort + offset)};
}

void RouterProcess::publishConfig()
{
    const nlohmann::json config = {
        {"Version", 1},
        {"Routes", {route("/quick/"), route("/large/"), route("/held/")}},
        {"Services", {{{"Name", "s"}, {"HealthPath", "/health"}, {"MaxConns", 4000}}}},
        {"Limits",
         {{"MaxHeaderBytes", m_limits.headBytes},
          {"MaxBodyBytes", m_limits.bodyBytes},
          {"HeaderTimeoutMs", toMilliseconds(m_limits.headTimeout)},
          {"IdleTimeoutMs", toMilliseconds(m_limits.idleTimeout)}}},
        {"Tenants", {{{"Name", "acc"}, {"ApiKeys", {"k"}}}}}};
    m_store->appendRecord("keyed.op", "config", config.dump());
}

void RouterProcess::publishServer()
{
    const nlohmann::json entry = {{"Service", "s"}, {"Address", port(ServerOffset).text()},
                                  {"Zone", "here"}, {"Version", "v1"},
                                  {"Slots", 4000},  {"State", "ready"},
                                  {"ColdMs", 0},    {"Sequence", 1},
                                  {"born", 1}};
    m_store->appendRecord("keyed.servers", "i-1", entry.dump());
}

void RouterProcess::onBackendRequest(
    const std::shared_ptr<soak::AsyncServer::Connection> &connection, const HttpRequestHead &head)
{
    if (head.target.starts_with("/held/")) {
        return;
    }
    const std::string *id = head.fields.find("Attempt-Id");
    HttpFields fields;
    fields.add("Attempt-Id", id == nullptr ? "" : *id);
    fields.add("Response-Seal", "seal");
    const bool large = head.target.starts_with("/large/");
    connection->reply(Ok, fields, large ? std::string(LargeAnswerBytes, 'x') : "answer");
}

void RouterProcess::startDaemon()
{
    const std::string settings = m_folder + "/daemon.yaml";
    std::ofstream(settings) << "instance: d0\ndata_centre: here\nlisten: " << callers().text()
                            << "\nreadiness_listen: " << readiness().text()
                            << "\nmetrics_listen: " << metrics().text()
                            << "\nfeed_listen: " << feed().text()
                            << "\nrelay_listen: " << relay().text() << "\nstore: " << port(0).text()
                            << "\nmemory_mb: " << m_limits.memoryMegabytes
                            << "\nbounds:\n  grace_s: 4\n  retry_ratio: 0.9\n  retry_slack: 50\n";
    const rlim_t previous = m_limits.descriptors > 0
        ? setDescriptorLimit(static_cast<rlim_t>(m_limits.descriptors))
        : 0;
    m_process = std::make_unique<trial::ChildProcess>(
        std::vector<std::string>{std::string(LYCHEEARCH_BUILD_DIR) + "/Source/lycheearchd",
                                 "--platform", "--config", settings},
        m_folder + "/daemon.log");
    if (m_limits.descriptors > 0) {
        setDescriptorLimit(previous);
    }
}

int RouterProcess::sendRequest(const std::string &path, const std::string &body) const
{
    return statusOf(callers(),
                    request("POST", path, "Api-Key: k\r\nAttempt-Id: ordinary\r\n", body),
                    AnswerLimit);
}

bool RouterProcess::servesOrdinaryRequest(int tries) const
{
    for (int i = 0; i < tries; ++i) {
        if (sendRequest("/quick/", std::string(OrdinaryBytes, 'o')) == Ok) {
            return true;
        }
        Crowd::hold(TryPause);
    }
    return false;
}

void RouterProcess::expectHealthy()
{
    const bool served = servesOrdinaryRequest(OrdinaryTries);
    cr_expect(m_process->running(), "the process has ended");
    cr_expect(served, "no ordinary request is answered");
    const std::int64_t memory = m_watch->mostMemory();
    std::cerr << "held: " << memory / BytesPerMegabyte << " MiB, " << m_watch->mostDescriptors()
              << " descriptors\n";
    cr_expect(memory <= m_limits.memoryMegabytes * BytesPerMegabyte, "%ld MiB held, limit %d MiB",
              static_cast<long>(memory / BytesPerMegabyte), m_limits.memoryMegabytes);
    if (m_limits.descriptors > 0) {
        const auto most = static_cast<int>(m_watch->mostDescriptors());
        cr_expect(most <= m_limits.descriptors - DescriptorsLeft, "%d descriptors, limit %d", most,
                  m_limits.descriptors);
    }
}

} // namespace lycheearch::crowd
