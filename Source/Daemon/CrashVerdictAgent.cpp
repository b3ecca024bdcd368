#include "Daemon/CrashVerdictAgent.h"

#include "Base/Hash.h"
#include <algorithm>

namespace lycheearch {

namespace {

constexpr Duration StepPeriod = 500ms;

const char *kindName(CrashTable::SuspectKind kind)
{
    switch (kind) {
    case CrashTable::SuspectKind::Part:
        return "part";
    case CrashTable::SuspectKind::Request:
        return "request";
    case CrashTable::SuspectKind::Family:
        return "family";
    case CrashTable::SuspectKind::Learned:
        break;
    }
    return "learned";
}

} // namespace

CrashVerdictAgent::CrashVerdictAgent(EventLoop &loop, FleetStore &store, const RecordCodec &codec,
                                     const FleetFollower &follower, CrashTable &table,
                                     StructuredLog &log, const Clock &clock)
    : m_loop(loop)
    , m_store(store)
    , m_codec(codec)
    , m_follower(follower)
    , m_table(table)
    , m_log(log)
    , m_clock(clock)
{
}

CrashVerdictAgent::~CrashVerdictAgent()
{
    m_loop.cancel(m_timer);
}

void CrashVerdictAgent::start()
{
    step(m_loop.now());
}

void CrashVerdictAgent::step(TimePoint now)
{
    m_timer = m_loop.at(
        now + StepPeriod, [this](TimePoint due) { step(due); }, "crash_verdicts");
    m_table.evaluate(now);
    logVerdicts(now);
    if (!m_follower.followingFeed() && m_follower.synced() && !m_writeInFlight) {
        writeMissing(now);
    }
}

void CrashVerdictAgent::logVerdicts(TimePoint now)
{
    for (const CrashTable::Verdict &verdict : m_table.takeVerdicts()) {
        m_log.write(LogPriority::Notable,
                    LogLine("prompt.condemned")
                        .add("part", hashText(verdict.key.hash))
                        .add("account", hashText(verdict.key.account))
                        .add("kind", kindName(verdict.kind))
                        .add("servers", static_cast<std::int64_t>(verdict.servers))
                        .add("requests", static_cast<std::int64_t>(verdict.requests))
                        .add("all_servers", static_cast<std::int64_t>(verdict.allServers))
                        .add("served_before", verdict.served ? "yes" : "no"),
                    now);
    }
}

void CrashVerdictAgent::writeMissing(TimePoint now)
{
    const std::vector<CondemnedSuspect> parts = m_table.condemned(now);
    const auto missing =
        std::find_if(parts.begin(), parts.end(),
                     [&](const CondemnedSuspect &part) { return !m_written.contains(part.key); });
    if (missing == parts.end()) {
        return;
    }
    const SuspectKey key = missing->key;
    const PromptPartCondemned record{key, wallMilliseconds(m_clock) - toMilliseconds(missing->age)};
    m_writeInFlight = true;
    m_store.append(Topic::Own, m_codec.encode(record), {},
                   [this, key](const StoreOutcome<Offset> &outcome, TimePoint) {
                       m_writeInFlight = false;
                       if (outcome.ok()) {
                           m_written.insert(key);
                       }
                   });
}

void CrashVerdictAgent::onRecord(const PromptPartCondemned &record, TimePoint now)
{
    m_written.insert(record.key);
    const std::int64_t ageMs =
        std::max<std::int64_t>(wallMilliseconds(m_clock) - record.condemnedAt, 0);
    m_table.condemn({record.key, std::chrono::milliseconds(ageMs)}, now);
}

} // namespace lycheearch
