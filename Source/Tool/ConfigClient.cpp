#include "Tool/ConfigClient.h"

#include <algorithm>
#include <thread>

namespace lycheearch {

namespace {
constexpr std::size_t RecordsPerRead = 1000;
constexpr Duration RetryDelay = 200ms;
} // namespace

ConfigClient::ConfigClient(LogService &log, const Clock &clock)
    : m_log(log)
    , m_clock(clock)
{
}

Status ConfigClient::readToEnd()
{
    while (true) {
        const auto slice =
            m_log.read(Streams::Configuration, m_position, RecordsPerRead, Duration(0));
        if (!slice.ok()) {
            return slice.failure();
        }
        for (const LogRecord &record : slice.value().records) {
            m_stateMachine.apply(record.offset, record.data);
            m_position = record.offset.next();
        }
        if (slice.value().records.empty()) {
            break;
        }
    }
    // A snapshot holds an older state than the one at its own offset if records were appended while
    // it was written. The records from its revision on are then read again.
    if (m_stateMachine.nextOffset() < m_position) {
        m_position = m_stateMachine.nextOffset();
        const auto rest =
            m_log.read(Streams::Configuration, m_position, RecordsPerRead, Duration(0));
        if (!rest.ok()) {
            return rest.failure();
        }
        for (const LogRecord &record : rest.value().records) {
            m_stateMachine.apply(record.offset, record.data);
            m_position = record.offset.next();
        }
    }
    return std::nullopt;
}

Result<ConfigStatePtr> ConfigClient::fetch()
{
    if (const Status failure = readToEnd()) {
        return *failure;
    }
    return m_stateMachine.state();
}

Result<OperationOutcome> ConfigClient::submit(const ConfigRecord &record, Duration timeout)
{
    const TimePoint deadline = m_clock.now() + timeout;
    Failure lastFailure =
        makeFailure(Errc::LogUnavailable, "no attempt was made to append to the log");
    while (m_clock.now() < deadline) {
        const auto offset = m_log.append(Streams::Configuration, {encodeConfigRecord(record)});
        const Status readFailure = readToEnd();
        const auto outcome = m_stateMachine.state()->outcomes.find(record.operation);
        if (outcome != m_stateMachine.state()->outcomes.end()) {
            return outcome->second;
        }
        if (readFailure || !offset.ok()) {
            lastFailure = readFailure ? *readFailure : offset.failure();
        }
        std::this_thread::sleep_for(RetryDelay);
    }
    return lastFailure;
}

} // namespace lycheearch
