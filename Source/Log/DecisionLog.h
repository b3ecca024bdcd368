#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

#include "Base/BoundedRing.h"
#include "Base/Time.h"
#include "Log/LogLine.h"

namespace lycheearch {

/// How much a line is worth when lines must be left out.
enum class LogWeight {
    Routine, ///< Of a request that went well; limited to a rate.
    Notable, ///< Of a failed request or a changed belief; left out only if the ring is full.
};

/// The structured log of one process. Lines go through a bounded ring to a thread that writes
/// them to a descriptor, so that a slow reader never blocks the caller. Lines that found no place
/// are counted, and the count is written with the next line.
class DecisionLog
{
public:
    /// \p routinePerSecond bounds the lines of requests that went well.
    DecisionLog(std::string instance, int descriptor, int routinePerSecond, const Clock &clock);
    ~DecisionLog();
    DecisionLog(const DecisionLog &) = delete;
    DecisionLog &operator=(const DecisionLog &) = delete;

    void write(LogWeight weight, LogLine line, TimePoint now);
    /// Whether a routine line would be written now; saves building lines that are left out.
    bool routineAllowed(TimePoint now);
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
