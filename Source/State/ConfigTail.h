#pragma once

#include "OwnFormats/LogService.h"
#include "State/ConfigStore.h"

namespace lycheearch {

/// Follows the configuration stream: folds new records, finds a snapshot where old records are
/// gone, writes a snapshot before records go, and appends provisional records when the log is back.
class ConfigTail
{
public:
    /// A snapshot is written when this many records follow the newest one.
    static constexpr std::int64_t RecordsPerSnapshot = 200;

    ConfigTail(LogService &log, ConfigStore &store, InstanceId self);

    /// Reads once, waiting for records for up to \p wait. Returns whether the log answered.
    bool step(TimePoint now, Duration wait);

private:
    void scanForSnapshot(TimePoint now, Offset firstOffset);
    void noteSnapshots(const std::vector<LogRecord> &records);
    void writeSnapshotIfDue();
    void appendProvisional();

    LogService &m_log;
    ConfigStore &m_store;
    InstanceId m_self;
    Offset m_newestSnapshot;
};

} // namespace lycheearch
