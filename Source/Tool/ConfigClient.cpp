#include "Tool/ConfigClient.h"

#include <algorithm>
#include <thread>

namespace lycheearch {

namespace {
constexpr std::size_t RecordsPerRead = 1000;
constexpr Duration RetryPause = 200ms;
} // namespace

ConfigClient::ConfigClient(LogService &log, const Clock &clock)
    : m_log(log)
    , m_clock(clock)
{
}

Status ConfigClient::foldToEnd()
{
    while (true) {
        const auto slice =
            m_log.read(Streams::Configuration, m_position, RecordsPerRead, Duration(0));
        if (!slice.ok()) {
            return slice.failure();
        }
        for (const LogRecord &record : slice.value().records) {
            m_fold.apply(record.offset, record.data);
            m_position = record.offset.next();
        }
        if (slice.value().records.empty()) {
            break;
        }
    }
    // A snapshot holds an older state than the one at its own offset if records were appended while
    // it was written. The records from its revision on are then read again.
    if (m_fold.nextOffset() < m_position) {
        m_position = m_fold.nextOffset();
        const auto rest =
            m_log.read(Streams::Configuration, m_position, RecordsPerRead, Duration(0));
        if (!rest.ok()) {
            return rest.failure();
        }
        for (const LogRecord &record : rest.value().records) {
            m_fold.apply(record.offset, record.data);
            m_position = record.offset.next();
        }
    }
    return std::nullopt;
}

Result<ConfigStatePtr> ConfigClient::fetch()
{
    if (const Status failure = foldToEnd()) {
        return *failure;
    }
    return m_fold.state();
}

Result<FoldOutcome> ConfigClient::submit(const ConfigRecord &record, Duration limit)
{
    const TimePoint deadline = m_clock.now() + limit;
    Failure last = makeFailure(Errc::LogUnavailable, "no attempt was made to append to the log");
    while (m_clock.now() < deadline) {
        const auto offset = m_log.append(Streams::Configuration, {encodeConfigRecord(record)});
        const Status unread = foldToEnd();
        const auto outcome = m_fold.state()->outcomes.find(record.operation);
        if (outcome != m_fold.state()->outcomes.end()) {
            return outcome->second;
        }
        if (unread || !offset.ok()) {
            last = unread ? *unread : offset.failure();
        }
        std::this_thread::sleep_for(RetryPause);
    }
    return last;
}

} // namespace lycheearch
