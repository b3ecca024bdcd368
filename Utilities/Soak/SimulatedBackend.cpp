#include "SimulatedBackend.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace lycheearch::soak {

namespace {

constexpr int Ok = 200;
constexpr int Misdirected = 421;
constexpr int Unavailable = 503;
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

SimulatedBackend::SimulatedBackend(EventLoop &loop, const Endpoint &listen, int slots,
                                   SimulatedStore &store, GuaranteeChecker &checker,
                                   std::mt19937_64 &random)
    : m_loop(loop)
    , m_address(listen)
    , m_store(store)
    , m_checker(checker)
    , m_random(random)
    , m_slots(slots)
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
    if (m_started) {
        m_servers[link]->open();
    }
}

void SimulatedBackend::start()
{
    for (const auto &server : m_servers) {
        server->open();
    }
    m_started = true;
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

void SimulatedBackend::becomeBrittle(int maxRejections)
{
    m_maxRejections = maxRejections;
    m_checker.beginBrittle(m_loop.now());
}

void SimulatedBackend::reject(const Connection &connection, const std::string &id)
{
    const TimePoint now = m_loop.now();
    HttpFields fields = answerFields(id);
    fields.remove("Response-Seal");
    fields.add("Not-Executed", "1");
    connection->reply(Unavailable, fields, "");
    m_rejections.push_back(now);
    while (now - m_rejections.front() > Duration(1s)) {
        m_rejections.pop_front();
    }
    if (std::cmp_greater(m_rejections.size(), *m_maxRejections)) {
        m_rejections.clear();
        m_checker.onFall(m_id, now);
        crash();
        restartLater();
    }
}

void SimulatedBackend::restartLater()
{
    m_loop.at(m_loop.now() + RestartTime, [this](TimePoint) {
        if (!isRunning()) {
            start();
        }
    });
}

HttpFields SimulatedBackend::answerFields(const std::string &id) const
{
    HttpFields fields;
    fields.add("Attempt-Id", id);
    fields.add("Response-Seal", "seal-" + id);
    if (m_rateLimit) {
        fields.add("Server-Limit", std::to_string(*m_rateLimit));
    }
    if (m_maxRejections) {
        fields.add("Server-Brittle", std::to_string(*m_maxRejections));
    }
    return fields;
}

void SimulatedBackend::crash()
{
    for (const auto &server : m_servers) {
        server->closeAll();
    }
    m_started = false;
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
                                  {"Slots", m_slots},    {"State", state},
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
    if (m_maxRejections && m_running >= BrittleSlots) {
        reject(connection, id);
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
                restartLater();
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
    ++m_running;
    m_loop.at(m_loop.now() + work, [=, this](TimePoint) {
        --m_running;
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
    ++m_running;
    m_loop.at(m_loop.now() + EventInterval * std::max(1, EventsPerStream - from + 1),
              [this](TimePoint) { --m_running; });
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
