#pragma once

#include <future>
#include <memory>

#include "Base/BoundedRing.h"
#include "Base/DutyThread.h"
#include "OwnFormats/LogService.h"

namespace lycheearch {

/// Appends records of many threads to one stream in batches, so that the number of appends stays
/// small under load. One thread appends; a bounded ring joins it to the others.
class StreamAppender
{
public:
    StreamAppender(LogService &log, StreamName stream, std::size_t capacity);
    ~StreamAppender();

    /// Appends \p data once. The future holds its offset, or why it has none.
    std::future<Result<Offset>> append(std::string data);

    /// Appends \p data again and again until the log has it.
    /// Returns false if the ring is full.
    bool appendUntilDone(std::string data);

    /// Waits until the ring is empty, up to \p limit. Returns whether it is.
    bool drain(Duration limit);
    void stop();

private:
    struct Item
    {
        std::string data;
        std::shared_ptr<std::promise<Result<Offset>>> done; ///< Empty: append until done.
    };

    Duration step();
    void settle(const std::vector<Item> &batch, const Result<Offset> &first);

    LogService &m_log;
    StreamName m_stream;
    BoundedRing<Item> m_ring;
    std::vector<Item> m_unfinished; ///< Only touched by the duty.
    std::atomic<std::size_t> m_unfinishedCount = 0;
    std::atomic<bool> m_busy = false;
    DutyThread m_duty;
};

} // namespace lycheearch
