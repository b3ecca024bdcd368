#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "Base/Time.h"

namespace lycheearch::standin {

/// In-memory implementation of the platform's append-only log service.
class StandInLog
{
public:
    /// Appends \p records and returns the offset of the first of them.
    std::int64_t append(const std::string &stream, const std::vector<std::string> &records);
    /// Returns up to \p maxRecords records from offset \p from on as JSON text. Waits up to \p wait
    /// for a record at that offset.
    std::string read(const std::string &stream, std::int64_t from, std::size_t maxRecords,
                     Duration wait);
    /// Deletes all but the newest \p keep records of a stream.
    void truncate(const std::string &stream, std::size_t keep);
    /// Number of append() calls so far.
    std::int64_t appends() const;

private:
    struct Stream
    {
        std::int64_t firstOffset = 0;
        std::deque<std::string> records;
    };

    mutable std::mutex m_mutex;
    std::condition_variable m_appended;
    std::map<std::string, Stream> m_streams;
    std::int64_t m_appends = 0;
};

} // namespace lycheearch::standin
