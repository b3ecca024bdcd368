#pragma once

#include <string>
#include <vector>

#include "Base/Error.h"
#include "Base/Ids.h"

namespace lycheearch {

/// One record of a stream.
struct LogRecord
{
    Offset offset;
    std::string data;
};

/// Consecutive records of a stream and the stream's bounds when they were read.
struct LogSlice
{
    std::vector<LogRecord> records;
    Offset firstOffset; ///< Of the oldest record that the log retains.
    Offset nextOffset; ///< Of the next record to be appended.
};

/// Append-only log of the platform. Calls block up to the timeout of the implementation; read()
/// also waits for records.
class LogService
{
public:
    virtual ~LogService() = default;

    /// Appends records in order and returns the offset of the first. LogUnavailable means that
    /// nothing was appended; LogUncertain means that the records may be in the log or may still
    /// appear there.
    virtual Result<Offset> append(const StreamName &stream,
                                  const std::vector<std::string> &records) = 0;

    /// Reads up to \p maxRecords records from offset \p from on, and waits up to \p wait for the
    /// first one. Fails with LogUnavailable.
    virtual Result<LogSlice> read(const StreamName &stream, Offset from, std::size_t maxRecords,
                                  Duration wait) = 0;
};

/// Names of the log streams.
namespace Streams {
const StreamName Configuration("configuration");
const StreamName Claims("claims");
const StreamName Billing("billing");
const StreamName OrderLeases("order-leases");
} // namespace Streams

} // namespace lycheearch
