#include "SimulatedBackend.h"

#include <nlohmann/json.hpp>

namespace lycheearch::soak {

namespace {

constexpr int Ok = 200;
constexpr int Misdirected = 421;
constexpr Duration EventInterval = 15ms;
constexpr int MaxWorkMs = 30;

std::string field(const HttpRequestHead &head, const char *name)
{
    const std::string *value = head.fields.find(name);
    return value == nullptr ? "" : *value;
}

/// Time from the start of the run to the end of a server that a request crashes, and until it is
/// back.
constexpr Duration CrashDelay = 40ms;
constexpr Duration RestartTime = 1200ms;

} // namespace

const std::string CrashingBody = "crash";

std::string answerBody(const std::string &id)
{
    return "answer to " + id;
}

std::string streamEvent(const std::string &id, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + id + "\n\n";
}

SimulatedBackend::SimulatedBackend(EventLoop &loop, const Endpoint &listen, SimulatedStore &store,
                                   GuaranteeChecker &checker, std::mt19937_64 &random)
    : m_loop(loop)
    , m_address(listen)
    , m_store(store)
    , m_checker(checker)
    , m_random(random)
{
    addLink(listen.host);
    start();
}

std::size_t SimulatedBackend::addLink(const std::string &host)
{
    m_servers.push_back(std::make_unique<AsyncServer>(
        m_loop, Endpoint{host, m_address.port},
        [this](const Connection &connection, const HttpRequestHead &head, const std::string &body) {
            onRequest(connection, head, body);
        }));
    return m_servers.size() - 1;
}

void SimulatedBackend::refuseLink(std::size_t link, bool keepOpen)
{
    if (keepOpen) {
        m_servers[link]->refuseConnections();
    } else {
        m_servers[link]->closeAll();
    }
}

void SimulatedBackend::silenceLink(std::size_t link)
{
    m_servers[link]->fallSilent();
}

void SimulatedBackend::restoreLink(std::size_t link)
{
    m_servers[link]->resume();
    if (m_running) {
        m_servers[link]->open();
    }
}

void SimulatedBackend::start()
{
    for (const auto &server : m_servers) {
        server->open();
    }
    m_running = true;
    m_id = "i-" + std::to_string(m_address.port) + "-" + std::to_string(++m_startCount);
    m_sequence = 0;
    m_rateLimit.reset();
    registerEntry("ready");
}

void SimulatedBackend::nameRateLimit(double perSecond)
{
    m_rateLimit = perSecond;
    m_checker.beginRateLimit(m_id, perSecond, m_loop.now());
}

void SimulatedBackend::endRateLimit()
{
    m_rateLimit.reset();
    m_checker.endRateLimit(m_id);
}

HttpFields SimulatedBackend::answerFields(const std::string &id) const
{
    HttpFields fields;
    fields.add("Attempt-Id", id);
    fields.add("Response-Seal", "seal-" + id);
    if (m_rateLimit) {
        fields.add("Server-Limit", std::to_string(*m_rateLimit));
    }
    return fields;
}

void SimulatedBackend::crash()
{
    for (const auto &server : m_servers) {
        server->closeAll();
    }
    m_running = false;
    m_store.appendRecord("keyed.servers", m_id, "");
}

void SimulatedBackend::drain(Duration bound)
{
    registerEntry("draining");
    m_checker.forbidRequests(m_id, m_loop.now() + bound);
}

void SimulatedBackend::renewRegistration()
{
    registerEntry(m_registeredState);
}

void SimulatedBackend::registerEntry(const char *state)
{
    m_registeredState = state;
    const nlohmann::json entry = {{"Service", "s"},      {"Address", m_address.text()},
                                  {"Zone", "here"},      {"Version", "v1"},
                                  {"Slots", 16},         {"State", state},
                                  {"ColdMs", 0},         {"Sequence", ++m_sequence},
                                  {"born", m_startCount}};
    m_store.appendRecord("keyed.servers", m_id, entry.dump());
}

void SimulatedBackend::onRequest(const Connection &connection, const HttpRequestHead &head,
                                 const std::string &body)
{
    const std::string id = field(head, "Attempt-Id");
    if (field(head, "Target-Instance") != m_id) {
        connection->reply(Misdirected, {}, "");
        return;
    }
    m_checker.onRun(id, field(head, "Tenant"), m_id, m_loop.now());
    if (head.fields.find("Api-Key") != nullptr) {
        m_checker.addViolation("the caller's API key was forwarded to a backend server: " + id);
    }
    if (body == CrashingBody) {
        m_loop.at(m_loop.now() + CrashDelay, [this, run = m_id](TimePoint) {
            if (isRunning() && run == m_id) {
                crash();
                m_loop.at(m_loop.now() + RestartTime, [this](TimePoint) {
                    if (!isRunning()) {
                        start();
                    }
                });
            }
        });
        return;
    }
    const std::string last = field(head, "Last-Event-Id");
    if (head.target.starts_with("/stream/")) {
        runStream(connection, id, last.empty() ? 1 : std::stoi(last) + 1);
    } else {
        runPlain(connection, id);
    }
}

void SimulatedBackend::runPlain(const Connection &connection, const std::string &id)
{
    const bool breakAnswer =
        std::uniform_real_distribution<double>(0, 1)(m_random) < m_brokenAnswerShare;
    const auto work = std::chrono::milliseconds(m_random() % MaxWorkMs);
    m_loop.at(m_loop.now() + work, [=](TimePoint) {
        if (connection->closed()) {
            return;
        }
        if (breakAnswer) {
            connection->close();
        } else {
            connection->reply(Ok, answerFields(id), answerBody(id));
        }
    });
}

void SimulatedBackend::runStream(const Connection &connection, const std::string &id, int from)
{
    HttpFields fields = answerFields(id);
    fields.add("Transfer-Encoding", "chunked");
    connection->send(serializeResponseHead(Ok, "OK", fields));
    for (int number = from; number <= EventsPerStream; ++number) {
        m_loop.at(m_loop.now() + EventInterval * (number - from + 1), [=, this](TimePoint) {
            if (connection->closed()) {
                return;
            }
            const std::string event = streamEvent(id, number);
            if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_brokenAnswerShare / 4) {
                connection->send(serializeChunk(event.substr(0, event.size() / 2)));
                connection->close();
                return;
            }
            connection->send(serializeChunk(event));
            if (number == EventsPerStream) {
                connection->send(LastChunk);
                connection->finish();
            }
        });
    }
    if (from > EventsPerStream) {
        connection->send(LastChunk);
        connection->finish();
    }
}

} // namespace lycheearch::soak
