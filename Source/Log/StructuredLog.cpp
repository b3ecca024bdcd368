#include "Log/StructuredLog.h"

#include <array>
#include <ctime>

#include <cerrno>
#include <unistd.h>

namespace lycheearch {

namespace {

constexpr std::size_t QueueCapacityLines = 4096;
constexpr std::size_t QueueCapacityBytes = 2UL * 1024 * 1024;
constexpr std::size_t MaxBatchLines = 256;
constexpr int ClientLinesPerSecond = 20;
constexpr Duration WriterBatchDelay = 200ms;

void writeAll(int descriptor, std::string_view text)
{
    while (!text.empty()) {
        const ssize_t count = ::write(descriptor, text.data(), text.size());
        if (count < 0) {
            if (errno == EINTR) {
                continue;
            }
            return; // For example a closed pipe. There is no other place to report the error.
        }
        text.remove_prefix(static_cast<std::size_t>(count));
    }
}

} // namespace

StructuredLog::StructuredLog(std::string instance, int descriptor, int routinePerSecond,
                             const Clock &clock)
    : m_instance(std::move(instance))
    , m_descriptor(descriptor)
    , m_routinePerSecond(routinePerSecond)
    , m_clock(clock)
    , m_queue(QueueCapacityLines)
    , m_writer([this] { run(); })
{
}

StructuredLog::~StructuredLog()
{
    m_queue.close();
    m_writer.join();
}

bool StructuredLog::admitRoutineLine(TimePoint now)
{
    updateWindow(now);
    if (m_routineInWindow < m_routinePerSecond) {
        return true;
    }
    drop();
    return false;
}

bool StructuredLog::admitClientLine(TimePoint now)
{
    updateWindow(now);
    if (m_clientInWindow < ClientLinesPerSecond) {
        ++m_clientInWindow;
        return true;
    }
    drop();
    return false;
}

void StructuredLog::updateWindow(TimePoint now)
{
    if (now - m_windowStart >= Duration(1s)) {
        m_windowStart = now;
        m_routineInWindow = 0;
        m_clientInWindow = 0;
    }
}

void StructuredLog::drop()
{
    ++m_droppedSinceLastLine;
    ++m_droppedTotal;
}

void StructuredLog::write(LogPriority priority, LogLine line, TimePoint now)
{
    if (priority == LogPriority::Routine) {
        if (!admitRoutineLine(now)) {
            return;
        }
        ++m_routineInWindow;
    }
    if (priority == LogPriority::Client && !admitClientLine(now)) {
        return;
    }
    if (m_droppedSinceLastLine > 0) {
        line.add("left_out", m_droppedSinceLastLine);
    }
    std::string text = prefix() + line.take() + "\n";
    const std::size_t bytes = text.size();
    const bool fits = (m_queuedBytes += bytes) <= QueueCapacityBytes;
    if (fits && m_queue.tryPush(std::move(text))) {
        m_droppedSinceLastLine = 0;
    } else {
        m_queuedBytes -= bytes;
        drop();
    }
}

std::string StructuredLog::prefix()
{
    const std::int64_t milliseconds = wallMilliseconds(m_clock);
    constexpr std::int64_t perSecond = 1000;
    const std::time_t seconds = milliseconds / perSecond;
    std::tm calendarTime{};
    gmtime_r(&seconds, &calendarTime);
    std::array<char, 64> text{};
    const std::size_t length =
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &calendarTime);
    const std::string fraction = std::to_string(perSecond + milliseconds % perSecond).substr(1);
    return "time=" + std::string(text.data(), length) + "." + fraction + "Z instance=" + m_instance
        + " ";
}

void StructuredLog::run()
{
    while (true) {
        const auto batch = m_queue.popBatch(MaxBatchLines, 1s);
        std::string text;
        for (const std::string &line : batch) {
            text += line;
        }
        m_queuedBytes -= text.size();
        writeAll(m_descriptor, text);
        if (batch.empty() && m_queue.closed()) {
            return;
        }
        if (!m_queue.closed()) {
            // Lets lines accumulate, so that the writer does not wake up for each line under load.
            std::this_thread::sleep_for(WriterBatchDelay);
        }
    }
}

} // namespace lycheearch
