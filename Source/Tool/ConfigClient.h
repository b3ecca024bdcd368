#pragma once

#include <functional>

#include "Config/ConfigFold.h"
#include "OwnFormats/LogService.h"

namespace lycheearch {

/// Reads and writes the configuration stream for an operator.
class ConfigClient
{
public:
    ConfigClient(LogService &log, const Clock &clock);

    /// Folds the stream to its end.
    Result<ConfigStatePtr> fetch();
    /// Appends a record and reads back what became of it. A lost answer of the log is settled by
    /// reading; a repeat of the record is folded away.
    Result<FoldOutcome> submit(const ConfigRecord &record, Duration limit);

private:
    Status foldToEnd();

    LogService &m_log;
    const Clock &m_clock;
    ConfigFold m_fold;
    Offset m_position;
};

} // namespace lycheearch
