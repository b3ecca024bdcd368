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

/// Part of a stream, as read at one moment.
struct LogSlice
{
    std::vector<LogRecord> records;
    Offset firstOffset; ///< Oldest record that the log still keeps.
    Offset nextOffset; ///< Offset that the next append will get.
};

/// Append-only log of the platform. All calls block up to the adapter's timeout.
class LogService
{
public:
    virtual ~LogService() = default;

    /// Appends records in order and returns the offset of the first. LogUnavailable means that
    /// nothing was appended; LogUncertain means that the records may appear, also later.
    virtual Result<Offset> append(const StreamName &stream,
                                  const std::vector<std::string> &records) = 0;

    /// Reads from \p from, waiting up to \p wait for a first record.
    virtual Result<LogSlice> read(const StreamName &stream, Offset from, std::size_t most,
                                  Duration wait) = 0;
};

/// Names of the streams that the system uses.
namespace Streams {
const StreamName Configuration("configuration");
const StreamName Claims("claims");
const StreamName Billing("billing");
const StreamName OrderLeases("order-leases");
} // namespace Streams

} // namespace lycheearch
