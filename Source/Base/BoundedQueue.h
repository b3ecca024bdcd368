#pragma once

#include <condition_variable>
#include <mutex>
#include <optional>
#include <vector>

#include <boost/circular_buffer.hpp>

#include "Base/Time.h"

namespace lycheearch {

/// A bounded queue between threads. A push to a full queue fails instead of blocking the producer.
template <typename T>
class BoundedQueue
{
public:
    explicit BoundedQueue(std::size_t capacity)
        : m_items(capacity)
    {
    }

    /// Returns false, without moving from \p item, if the queue is full or closed.
    bool tryPush(T &&item)
    {
        {
            std::lock_guard lock(m_mutex);
            if (m_closed || m_items.full()) {
                return false;
            }
            m_items.push_back(std::move(item));
        }
        m_changed.notify_one();
        return true;
    }

    /// Removes the oldest items, up to the given number. Waits up to \p timeout for the first.
    std::vector<T> popBatch(std::size_t maxItems, Duration timeout)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, timeout, [this] { return m_closed || !m_items.empty(); });
        std::vector<T> batch;
        while (!m_items.empty() && batch.size() < maxItems) {
            batch.push_back(std::move(m_items.front()));
            m_items.pop_front();
        }
        return batch;
    }

    /// Makes further pushes fail and wakes the consumer. Queued items can still be popped.
    void close()
    {
        {
            std::lock_guard lock(m_mutex);
            m_closed = true;
        }
        m_changed.notify_all();
    }

    bool closed() const
    {
        std::lock_guard lock(m_mutex);
        return m_closed;
    }

    std::size_t size() const
    {
        std::lock_guard lock(m_mutex);
        return m_items.size();
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    boost::circular_buffer<T> m_items;
    bool m_closed = false;
};

} // namespace lycheearch
