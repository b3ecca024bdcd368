#include "Log/DecisionLog.h"

#include <array>
#include <ctime>

#include <cerrno>
#include <unistd.h>

namespace lycheearch {

namespace {

constexpr std::size_t RingLines = 4096;
constexpr std::size_t BatchLines = 256;
constexpr Duration WriterPause = 200ms;

void writeAll(int descriptor, std::string_view text)
{
    while (!text.empty()) {
        const ssize_t count = ::write(descriptor, text.data(), text.size());
        if (count < 0) {
            if (errno == EINTR) {
                continue;
            }
            return; // The log's reader has closed the pipe; there is no other place to report it.
        }
        text.remove_prefix(static_cast<std::size_t>(count));
    }
}

} // namespace

DecisionLog::DecisionLog(std::string instance, int descriptor, int routinePerSecond,
                         const Clock &clock)
    : m_instance(std::move(instance))
    , m_descriptor(descriptor)
    , m_routinePerSecond(routinePerSecond)
    , m_clock(clock)
    , m_ring(RingLines)
    , m_writer([this] { run(); })
{
}

DecisionLog::~DecisionLog()
{
    m_ring.close();
    m_writer.join();
}

bool DecisionLog::routineAllowed(TimePoint now)
{
    if (now - m_windowStart >= Duration(1s)) {
        m_windowStart = now;
        m_routineInWindow = 0;
    }
    if (m_routineInWindow < m_routinePerSecond) {
        return true;
    }
    ++m_leftOut;
    ++m_leftOutTotal;
    return false;
}

void DecisionLog::write(LogWeight weight, LogLine line, TimePoint now)
{
    if (weight == LogWeight::Routine) {
        if (!routineAllowed(now)) {
            return;
        }
        ++m_routineInWindow;
    }
    if (m_leftOut > 0) {
        line.add("left_out", m_leftOut);
    }
    if (m_ring.tryPush(prefix() + line.take() + "\n")) {
        m_leftOut = 0;
    } else {
        ++m_leftOut;
        ++m_leftOutTotal;
    }
}

std::string DecisionLog::prefix()
{
    const std::int64_t milliseconds = wallMilliseconds(m_clock);
    constexpr std::int64_t perSecond = 1000;
    const std::time_t seconds = milliseconds / perSecond;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 64> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const std::string fraction = std::to_string(perSecond + milliseconds % perSecond).substr(1);
    return "time=" + std::string(text.data(), length) + "." + fraction + "Z instance=" + m_instance
        + " ";
}

void DecisionLog::run()
{
    while (true) {
        const auto batch = m_ring.popBatch(BatchLines, 1s);
        std::string text;
        for (const std::string &line : batch) {
            text += line;
        }
        writeAll(m_descriptor, text);
        if (batch.empty() && m_ring.closed()) {
            return;
        }
        if (!m_ring.closed()) {
            // Lets lines accumulate, so that the writer does not wake up for each line under load.
            std::this_thread::sleep_for(WriterPause);
        }
    }
}

} // namespace lycheearch
