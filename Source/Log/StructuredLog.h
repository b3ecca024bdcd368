#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

#include "Base/BoundedQueue.h"
#include "Base/Time.h"
#include "Log/LogLine.h"

namespace lycheearch {

/// Which lines are dropped first when lines must be dropped.
enum class LogPriority {
    Routine, ///< Of a successful request; rate-limited.
    Client, ///< Of a client that exceeded a limit; rate-limited.
    Notable, ///< Of a failed request or a state change; dropped only if the queue is full.
};

/// The structured log of one process. A bounded queue passes the lines to a thread that writes them
/// to a file descriptor, so that a slow reader of the log never blocks the caller. Lines are
/// dropped if the queue is full, in lines or in bytes, or the rate limit is reached; the number of
/// dropped lines is added to the next line that is written. write() and admitRoutineLine() are not
/// thread-safe.
class StructuredLog
{
public:
    /// \p routinePerSecond is the rate limit of LogPriority::Routine lines. The log does not close
    /// \p descriptor.
    StructuredLog(std::string instance, int descriptor, int routinePerSecond, const Clock &clock);
    ~StructuredLog();
    StructuredLog(const StructuredLog &) = delete;
    StructuredLog &operator=(const StructuredLog &) = delete;

    /// Queues \p line, or drops and counts it. Never blocks on the descriptor.
    void write(LogPriority priority, LogLine line, TimePoint now);
    /// Checks the rate limit, so that callers need not build a routine line that would be dropped.
    /// Returns false, and counts a dropped line, if the limit is reached.
    bool admitRoutineLine(TimePoint now);
    /// Lines dropped since the start of the process.
    std::int64_t droppedLines() const { return m_droppedTotal; }

private:
    void run();
    void drop();
    /// Begins a new window of the rate limits if the last one has ended.
    void updateWindow(TimePoint now);
    bool admitClientLine(TimePoint now);
    std::string prefix();

    std::string m_instance;
    int m_descriptor;
    int m_routinePerSecond;
    const Clock &m_clock;
    BoundedQueue<std::string> m_queue;
    TimePoint m_windowStart;
    int m_routineInWindow = 0;
    int m_clientInWindow = 0;
    std::atomic<std::size_t> m_queuedBytes = 0;
    std::int64_t m_droppedSinceLastLine = 0;
    std::int64_t m_droppedTotal = 0;
    std::thread m_writer;
};

} // namespace lycheearch
