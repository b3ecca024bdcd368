#include "State/ConfigTail.h"

#include "Base/Hash.h"
#include "Base/Logger.h"

namespace lycheearch {

namespace {
constexpr std::size_t RecordsPerRead = 1000;
const Logger Log("config");
} // namespace

ConfigTail::ConfigTail(LogService &log, ConfigStore &store, InstanceId self)
    : m_log(log)
    , m_store(store)
    , m_self(std::move(self))
{
}

bool ConfigTail::step(TimePoint now, Duration wait)
{
    const Revision before = m_store.current()->revision;
    const auto slice =
        m_log.read(Streams::Configuration, Offset(before.value()), RecordsPerRead, wait);
    if (!slice.ok()) {
        return false;
    }
    const Offset expected(before.value());
    if (slice.value().firstOffset > expected) {
        Log.warning("Records from " + std::to_string(expected.value()) + " to "
                    + std::to_string(slice.value().firstOffset.value())
                    + " are no longer in the log. Searching for a snapshot.");
        scanForSnapshot(now, slice.value().firstOffset);
        return true;
    }
    if (slice.value().nextOffset < expected) {
        Log.warning("The log ends before the revision in force. The revision is kept.");
        return true;
    }
    trackNewestSnapshot(slice.value().records);
    m_store.applyRecords(slice.value().records, now);
    if (m_store.current()->revision != before) {
        Log.info("Revision " + std::to_string(m_store.current()->revision.value())
                 + " is in force.");
    }
    appendProvisional();
    writeSnapshotIfDue();
    return true;
}

void ConfigTail::scanForSnapshot(TimePoint now, Offset firstOffset)
{
    Offset from = firstOffset;
    while (true) {
        const auto slice = m_log.read(Streams::Configuration, from, RecordsPerRead, Duration(0));
        if (!slice.ok() || slice.value().records.empty()) {
            return;
        }
        for (const LogRecord &record : slice.value().records) {
            const auto decoded = decodeConfigRecord(record.data);
            if (decoded && decoded->type == ConfigRecordType::Snapshot) {
                m_store.applySnapshot(decoded->text, now);
            }
        }
        trackNewestSnapshot(slice.value().records);
        from = slice.value().records.back().offset.next();
    }
}

void ConfigTail::trackNewestSnapshot(const std::vector<LogRecord> &records)
{
    for (const LogRecord &record : records) {
        const auto decoded = decodeConfigRecord(record.data);
        if (decoded && decoded->type == ConfigRecordType::Snapshot) {
            m_newestSnapshot = record.offset;
        }
    }
}

void ConfigTail::writeSnapshotIfDue()
{
    const std::int64_t recordsSinceSnapshot =
        m_store.current()->revision.value() - m_newestSnapshot.value();
    if (recordsSinceSnapshot < RecordsPerSnapshot) {
        return;
    }
    ConfigRecord record;
    record.type = ConfigRecordType::Snapshot;
    record.operation = OperationId(randomHex());
    record.text = m_store.encodeSnapshot();
    record.author = m_self.value();
    const auto offset = m_log.append(Streams::Configuration, {encodeConfigRecord(record)});
    if (offset.ok()) {
        m_newestSnapshot = offset.value();
        Log.info("Wrote a snapshot at offset " + std::to_string(offset.value().value()) + ".");
    }
}

void ConfigTail::appendProvisional()
{
    const std::vector<std::string> records = m_store.provisional();
    if (!records.empty() && m_log.append(Streams::Configuration, records).ok()) {
        Log.info("Appended " + std::to_string(records.size()) + " provisional records.");
    }
}

} // namespace lycheearch
