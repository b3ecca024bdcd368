#pragma once

#include <future>
#include <memory>

#include "Adapters/LogService.h"
#include "Base/BoundedQueue.h"
#include "Base/PeriodicThread.h"

namespace lycheearch {

/// Appends the records of many threads to one stream of the log. A background thread takes them
/// from a bounded queue and appends them in batches, which limits the number of appends under load.
class StreamAppender
{
public:
    StreamAppender(LogService &log, StreamName stream, std::size_t capacity);
    ~StreamAppender();

    /// Appends \p data once, without a retry. The future holds the offset or the error of the
    /// append; Overloaded if the queue is full.
    std::future<Result<Offset>> append(std::string data);

    /// Retries the append of \p data until it succeeds. Returns false if the queue is full.
    bool appendWithRetries(std::string data);

    /// Waits until all queued records are processed, at most \p limit. Returns whether they are.
    bool drain(Duration limit);
    /// Closes the queue and stops the background thread.
    void stop();

private:
    struct Item
    {
        std::string data;
        std::shared_ptr<std::promise<Result<Offset>>> done; ///< Null for a record that is retried.
    };

    Duration appendBatch();
    void completeBatch(const std::vector<Item> &batch, const Result<Offset> &firstOffset);

    LogService &m_log;
    StreamName m_stream;
    BoundedQueue<Item> m_queue;
    std::vector<Item> m_retryItems; ///< Records to retry; used by the background thread only.
    std::atomic<std::size_t> m_retryCount = 0;
    std::atomic<bool> m_busy = false;
    PeriodicThread m_thread;
};

} // namespace lycheearch
