#pragma once

#include <string>
#include <unordered_map>

#include "Forward/RelayBackpressure.h"
#include "Net/EventLoop.h"

namespace lycheearch {

/// A connection to a caller that may have unread bytes.
class CallerReader
{
public:
    virtual ~CallerReader() = default;
    virtual UnreadBytes unread() const = 0;
    /// Brings RelayBackpressure up to date, and goes on reading if it no longer rests.
    virtual void followReading(TimePoint now) = 0;
    /// Cuts off what is unread. \p why is for the log.
    virtual void endUnread(const char *why, TimePoint now) = 0;
};

/// The callers of this process that have unread bytes: follows how they read, and ends those that
/// RelayBackpressure decides to end.
class CallerReaders
{
public:
    CallerReaders(EventLoop &loop, BodyBudget &memory);
    ~CallerReaders();
    CallerReaders(const CallerReaders &) = delete;
    CallerReaders &operator=(const CallerReaders &) = delete;

    RelayBackpressure::ReaderId newId() { return m_nextId++; }
    /// Applies what the caller has unread now. Ends the slowest callers, this one included, if the
    /// memory is exhausted. Returns whether reading from its server rests.
    bool update(RelayBackpressure::ReaderId id, CallerReader &reader, TimePoint now);
    void remove(RelayBackpressure::ReaderId id);
    /// Reserves memory of a response that is being collected; ends callers that don't read if that
    /// is needed. Returns false if it does not suffice.
    bool reserve(std::size_t bytes, TimePoint now);

    const RelayBackpressure &backpressure() const { return m_backpressure; }
    /// Gauges in the Prometheus text format.
    std::string metricsText() const;

private:
    void holdBeyondLimit(RelayBackpressure::ReaderId id, const UnreadBytes &unread, TimePoint now);
    void startTimer(TimePoint now);
    void check(TimePoint now);
    void end(RelayBackpressure::ReaderId id, const char *why, TimePoint now);

    EventLoop &m_loop;
    BodyBudget &m_memory;
    RelayBackpressure m_backpressure;
    std::unordered_map<RelayBackpressure::ReaderId, CallerReader *> m_readers;
    RelayBackpressure::ReaderId m_nextId = 1;
    TimerId m_timer;
};

} // namespace lycheearch
