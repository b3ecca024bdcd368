#include "Runner.h"

#include <nlohmann/json.hpp>

namespace lycheearch::review {

namespace {

constexpr Duration HeartbeatPeriod = 1200ms;
constexpr int Misdirected = 421;

} // namespace

std::string ReceivedRequest::field(const std::string &name) const
{
    const std::string *value = head.fields.find(name);
    return value == nullptr ? "" : *value;
}

Runner::Runner(EventLoop &loop, soak::SimulatedStore &store, Record &record, RunnerEntry entry,
               Handler handler)
    : m_loop(loop)
    , m_store(store)
    , m_record(record)
    , m_entry(std::move(entry))
    , m_handler(std::move(handler))
    , m_startedAt(wallMilliseconds(SystemClock()))
{
    m_server = std::make_unique<soak::AsyncServer>(
        loop, m_entry.address,
        [this](const Connection &connection, const HttpRequestHead &head, const std::string &body) {
            onRequest(connection, head, body);
        });
    registerEntry();
}

Runner::~Runner()
{
    m_loop.cancel(m_timer);
}

void Runner::crash()
{
    m_loop.cancel(m_timer);
    m_server->closeAll();
    m_record.write("runner " + m_entry.id + " crashes");
}

void Runner::restart(Duration coldTime)
{
    m_startedAt = wallMilliseconds(SystemClock());
    m_sequence = 0;
    m_coldUntil = m_loop.now() + coldTime;
    m_server->open();
    m_record.write("runner " + m_entry.id + " starts again, cold for "
                   + std::to_string(toMilliseconds(coldTime)) + " ms");
    registerEntry();
}

void Runner::registerEntry()
{
    const TimePoint now = m_loop.now();
    const std::int64_t coldMs = isCold(now) ? toMilliseconds(m_coldUntil - now) : 0;
    const nlohmann::json entry = {{"Service", m_entry.service}, {"Address", m_entry.address.text()},
                                  {"Zone", m_entry.zone},       {"Version", "v1"},
                                  {"Slots", m_entry.slots},     {"State", "ready"},
                                  {"ColdMs", coldMs},           {"Sequence", ++m_sequence},
                                  {"born", m_startedAt}};
    m_store.appendRecord("keyed.servers", m_entry.id, entry.dump());
    m_timer = m_loop.at(m_loop.now() + HeartbeatPeriod, [this](TimePoint) { registerEntry(); });
}

HttpFields Runner::answerFields(const ReceivedRequest &request)
{
    HttpFields fields;
    fields.add("Attempt-Id", request.id);
    fields.add("Response-Seal", "seal-" + request.id);
    return fields;
}

void Runner::onRequest(const Connection &connection, const HttpRequestHead &head,
                       const std::string &body)
{
    ReceivedRequest request{"", head, body};
    request.id = request.field("Attempt-Id");
    const std::string target = request.field("Target-Instance");
    if (!target.empty() && target != m_entry.id) {
        m_record.write("runner " + m_entry.id + " rejected " + request.id + ", meant for "
                       + target);
        HttpFields fields;
        fields.add("Instance-Id", m_entry.id);
        connection->reply(Misdirected, fields, "");
        return;
    }
    ++m_count;
    m_record.write("runner " + m_entry.id + " runs " + request.id);
    m_handler(*this, connection, request);
}

} // namespace lycheearch::review
