#include "State/StreamAppender.h"

#include <thread>

namespace lycheearch {

namespace {
constexpr std::size_t MaxBatchRecords = 500;
constexpr Duration IdleWait = 200ms;
constexpr Duration BatchDelay = 2ms; ///< Wait for more records, so that one append takes them all.
constexpr Duration RetryDelay = 250ms;
constexpr Duration DrainPollPeriod = 10ms;
} // namespace

StreamAppender::StreamAppender(LogService &log, StreamName stream, std::size_t capacity)
    : m_log(log)
    , m_stream(std::move(stream))
    , m_queue(capacity)
    , m_thread("append " + m_stream.value(), [this] { return appendBatch(); })
{
}

StreamAppender::~StreamAppender()
{
    stop();
}

void StreamAppender::stop()
{
    m_queue.close();
    m_thread.stop();
}

std::future<Result<Offset>> StreamAppender::append(std::string data)
{
    auto done = std::make_shared<std::promise<Result<Offset>>>();
    std::future<Result<Offset>> result = done->get_future();
    if (!m_queue.tryPush(Item{std::move(data), done})) {
        done->set_value(makeFailure(Errc::Overloaded,
                                    "too many records are waiting to be appended to the log"));
    }
    return result;
}

bool StreamAppender::appendWithRetries(std::string data)
{
    return m_queue.tryPush(Item{std::move(data), nullptr});
}

bool StreamAppender::drain(Duration limit)
{
    for (Duration waited{}; waited < limit; waited += DrainPollPeriod) {
        if (m_queue.size() == 0 && m_retryCount == 0 && !m_busy) {
            return true;
        }
        std::this_thread::sleep_for(DrainPollPeriod);
    }
    return false;
}

Duration StreamAppender::appendBatch()
{
    std::vector<Item> batch = std::move(m_retryItems);
    m_retryItems.clear();
    std::vector<Item> newItems =
        m_queue.popBatch(MaxBatchRecords, batch.empty() ? IdleWait : Duration(0));
    m_busy = true;
    if (!newItems.empty() && newItems.size() < MaxBatchRecords) {
        std::this_thread::sleep_for(BatchDelay);
        for (Item &item : m_queue.popBatch(MaxBatchRecords - newItems.size(), Duration(0))) {
            newItems.push_back(std::move(item));
        }
    }
    batch.insert(batch.end(), std::make_move_iterator(newItems.begin()),
                 std::make_move_iterator(newItems.end()));
    if (batch.empty()) {
        m_busy = false;
        return Duration(0);
    }
    std::vector<std::string> records;
    records.reserve(batch.size());
    for (const Item &item : batch) {
        records.push_back(item.data);
    }
    const Result<Offset> firstOffset = m_log.append(m_stream, records);
    completeBatch(batch, firstOffset);
    m_busy = false;
    return firstOffset.ok() ? Duration(0) : RetryDelay;
}

void StreamAppender::completeBatch(const std::vector<Item> &batch,
                                   const Result<Offset> &firstOffset)
{
    std::int64_t index = 0;
    for (const Item &item : batch) {
        if (item.done && firstOffset.ok()) {
            item.done->set_value(firstOffset.value() + Offset(index));
        } else if (item.done) {
            item.done->set_value(firstOffset.failure());
        } else if (!firstOffset.ok()) {
            m_retryItems.push_back(item);
        }
        ++index;
    }
    m_retryCount = m_retryItems.size();
}

} // namespace lycheearch
