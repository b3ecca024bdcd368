#pragma once

#include "Adapters/LogService.h"
#include "State/ConfigStore.h"

namespace lycheearch {

/// Follows the configuration stream of the log and applies new records to the ConfigStore. If the
/// log's retention has deleted records that this daemon has not read, it restores the state from a
/// snapshot in the stream. To make this possible, it appends a snapshot when RecordsPerSnapshot
/// records follow the newest one, before the retention deletes those records. Also appends the
/// provisional records when the log is available again.
class ConfigTail
{
public:
    /// A snapshot is written when this many records follow the newest snapshot.
    static constexpr std::int64_t RecordsPerSnapshot = 200;

    ConfigTail(LogService &log, ConfigStore &store, InstanceId self);

    /// Reads the stream once, waiting at most \p wait for new records. Returns whether the read
    /// succeeded.
    bool step(TimePoint now, Duration wait);

private:
    void scanForSnapshot(TimePoint now, Offset firstOffset);
    void trackNewestSnapshot(const std::vector<LogRecord> &records);
    void writeSnapshotIfDue();
    void appendProvisional();

    LogService &m_log;
    ConfigStore &m_store;
    InstanceId m_self;
    Offset m_newestSnapshot;
};

} // namespace lycheearch
