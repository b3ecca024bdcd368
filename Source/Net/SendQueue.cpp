#include "Net/SendQueue.h"

#include <utility>

namespace lycheearch {

namespace {

/// A segment that would exceed this by another write is closed.
constexpr std::size_t SegmentBytes = 16UL * 1024;

} // namespace

void SendQueue::append(std::string_view bytes)
{
    if (bytes.empty()) {
        return;
    }
    const bool joins = !m_segments.empty() && !m_segments.back().body
        && m_segments.back().text.size() + bytes.size() <= SegmentBytes;
    if (joins) {
        m_segments.back().text.append(bytes);
    } else {
        m_segments.push_back({std::string(bytes), nullptr});
    }
    m_size += bytes.size();
}

void SendQueue::append(SharedBody body)
{
    if (!body || body->empty()) {
        return;
    }
    m_size += body->size();
    m_segments.push_back({std::string(), std::move(body)});
}

std::string_view SendQueue::front() const
{
    return m_segments.empty() ? std::string_view() : m_segments.front().bytes().substr(m_consumed);
}

void SendQueue::consume(std::size_t count)
{
    m_consumed += count;
    m_size -= count;
    if (!m_segments.empty() && m_consumed == m_segments.front().bytes().size()) {
        m_segments.pop_front();
        m_consumed = 0;
    }
}

void SendQueue::clear()
{
    m_segments.clear();
    m_consumed = 0;
    m_size = 0;
}

} // namespace lycheearch
