#include "Forward/CallerReaders.h"

#include <vector>

namespace lycheearch {

namespace {

/// A tenth of RelayBackpressure::NotReadingLimit, so that a caller is ended in time.
constexpr Duration CheckInterval = 500ms;
constexpr const char *NoMemory = "memory for responses exhausted";

} // namespace

CallerReaders::CallerReaders(EventLoop &loop, BodyBudget &memory)
    : m_loop(loop)
    , m_memory(memory)
    , m_backpressure(memory)
{
}

CallerReaders::~CallerReaders()
{
    m_loop.cancel(m_timer);
}

bool CallerReaders::update(RelayBackpressure::ReaderId id, CallerReader &reader, TimePoint now)
{
    const UnreadBytes unread = reader.unread();
    if (unread.queued == 0) {
        remove(id);
        return false;
    }
    m_readers[id] = &reader;
    startTimer(now);
    while (!m_backpressure.update(id, unread, now)) {
        const auto slowest = m_backpressure.slowest(RelayBackpressure::RecentlyRead, now);
        if (!slowest) {
            holdBeyondLimit(id, unread, now);
            break;
        }
        end(*slowest, NoMemory, now);
        if (*slowest == id) {
            return false;
        }
    }
    return m_backpressure.rests(id);
}

void CallerReaders::holdBeyondLimit(RelayBackpressure::ReaderId id, const UnreadBytes &unread,
                                    TimePoint now)
{
    // All callers read. The bytes are held for now, and no more are read from the server.
    if (!m_backpressure.update(id, unread, now, true)) {
        end(id, NoMemory, now);
    }
}

void CallerReaders::remove(RelayBackpressure::ReaderId id)
{
    m_backpressure.remove(id);
    m_readers.erase(id);
}

bool CallerReaders::reserve(std::size_t bytes, TimePoint now)
{
    while (!m_memory.tryReserve(bytes)) {
        const auto slowest = m_backpressure.slowest(RelayBackpressure::RecentlyRead, now);
        if (!slowest) {
            return false;
        }
        end(*slowest, NoMemory, now);
    }
    return true;
}

std::string CallerReaders::metricsText() const
{
    const auto gauge = [](const std::string &name, std::size_t value) {
        return "# TYPE " + name + " gauge\n" + name + " " + std::to_string(value) + "\n";
    };
    return gauge("lycheearch_unread_responses", m_backpressure.readers())
        + gauge("lycheearch_paused_responses", m_backpressure.resting())
        + gauge("lycheearch_unread_bytes", m_backpressure.unreadBytes());
}

void CallerReaders::startTimer(TimePoint now)
{
    if (!m_timer.active()) {
        m_timer = m_loop.at(now + CheckInterval, [this](TimePoint currentTime) {
            m_timer = TimerId();
            check(currentTime);
        });
    }
}

void CallerReaders::check(TimePoint now)
{
    std::vector<RelayBackpressure::ReaderId> ids;
    for (const auto &[id, reader] : m_readers) {
        ids.push_back(id);
    }
    for (const RelayBackpressure::ReaderId id : ids) {
        const auto found = m_readers.find(id);
        if (found != m_readers.end()) {
            found->second->followReading(now);
        }
    }
    for (const RelayBackpressure::ReaderId id : m_backpressure.notReading(now)) {
        end(id, "no byte taken", now);
    }
    if (!m_readers.empty()) {
        startTimer(now);
    }
}

void CallerReaders::end(RelayBackpressure::ReaderId id, const char *why, TimePoint now)
{
    const auto found = m_readers.find(id);
    if (found != m_readers.end()) {
        found->second->endUnread(why, now);
    }
    remove(id);
}

} // namespace lycheearch
