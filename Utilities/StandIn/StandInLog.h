#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "Base/Time.h"

namespace lycheearch::standin {

/// The append-only log service, in memory.
class StandInLog
{
public:
    /// Returns the offset of the first record.
    std::int64_t append(const std::string &stream, const std::vector<std::string> &records);
    /// A slice as JSON text; waits up to \p wait for a record at \p from.
    std::string read(const std::string &stream, std::int64_t from, std::size_t most, Duration wait);
    /// Forgets all but the newest \p keep records of a stream.
    void truncate(const std::string &stream, std::size_t keep);
    std::int64_t appends() const;

private:
    struct Stream
    {
        std::int64_t firstOffset = 0;
        std::deque<std::string> records;
    };

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Stream> m_streams;
    std::int64_t m_appends = 0;
};

} // namespace lycheearch::standin
