#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

#include "Base/BoundedRing.h"
#include "Base/Time.h"
#include "Log/LogLine.h"

namespace lycheearch {

/// Which lines are dropped first when lines must be dropped.
enum class LogWeight {
    Routine, ///< Of a successful request; rate-limited.
    Notable, ///< Of a failed request or a state change; dropped only if the ring is full.
};

/// The structured log of one process. A bounded ring passes the lines to a thread that writes them
/// to a file descriptor, so that a slow reader of the log never blocks the caller. Lines are
/// dropped if the ring is full or the rate limit is reached; the number of dropped lines is added
/// to the next line that is written. write() and routineAllowed() are not thread-safe.
class DecisionLog
{
public:
    /// \p routinePerSecond is the rate limit of LogWeight::Routine lines. \p descriptor stays open.
    DecisionLog(std::string instance, int descriptor, int routinePerSecond, const Clock &clock);
    ~DecisionLog();
    DecisionLog(const DecisionLog &) = delete;
    DecisionLog &operator=(const DecisionLog &) = delete;

    /// Queues \p line, or drops and counts it. Never blocks on the descriptor.
    void write(LogWeight weight, LogLine line, TimePoint now);
    /// Whether the rate limit admits a routine line now, so that callers need not build a line that
    /// would be dropped. If not, the line is counted as dropped.
    bool routineAllowed(TimePoint now);
    /// Lines dropped since the start of the process.
    std::int64_t leftOut() const { return m_leftOutTotal; }

private:
    void run();
    std::string prefix();

    std::string m_instance;
    int m_descriptor;
    int m_routinePerSecond;
    const Clock &m_clock;
    BoundedRing<std::string> m_ring;
    TimePoint m_windowStart;
    int m_routineInWindow = 0;
    std::int64_t m_leftOut = 0;
    std::int64_t m_leftOutTotal = 0;
    std::thread m_writer;
};

} // namespace lycheearch
