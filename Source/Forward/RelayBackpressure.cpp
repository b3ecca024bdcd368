#include "Forward/RelayBackpressure.h"

#include <algorithm>

namespace lycheearch {

namespace {

constexpr std::size_t RoomDivisor = 2; ///< Part of the memory for responses.
/// With n callers that read nothing, n / (n + 8) of the room is used.
constexpr std::size_t FreeShareDivisor = 8;
/// Reading goes on once this part of the watermark is free again: soon, since a server cuts off a
/// response that remains unread for some seconds.
constexpr std::size_t ResumeDivisor = 8;

} // namespace

RelayBackpressure::RelayBackpressure(BodyBudget &memory)
    : m_memory(memory)
{
}

std::size_t RelayBackpressure::watermark() const
{
    const std::size_t room = m_memory.limitBytes() / RoomDivisor;
    const std::size_t free = room - std::min(room, m_unreadBytes);
    return std::min(HighWatermarkBytes, free / FreeShareDivisor);
}

bool RelayBackpressure::update(ReaderId reader, const UnreadBytes &unread, TimePoint now,
                               bool beyondLimit)
{
    const auto found = m_readers.find(reader);
    const std::size_t before = found == m_readers.end() ? 0 : found->second.unread.queued;
    if (unread.queued > before && !m_memory.tryReserve(unread.queued - before)) {
        const std::size_t most = m_memory.limitBytes() + m_memory.limitBytes() / OverdraftDivisor;
        if (!beyondLimit || m_memory.reservedBytes() + unread.queued - before > most) {
            return false;
        }
        m_memory.reserveHeld(unread.queued - before);
    }
    if (unread.queued == 0) {
        remove(reader);
        return true;
    }
    if (unread.queued < before) {
        m_memory.release(before - unread.queued);
    }
    m_unreadBytes = m_unreadBytes - before + unread.queued;
    Reader &state = m_readers[reader];
    if (before == 0 || unread.taken > state.unread.taken) {
        state.tookAt = now;
    }
    state.unread = unread;
    const std::size_t most = watermark();
    state.rests = unread.queued > (state.rests ? most - most / ResumeDivisor : most);
    return true;
}

void RelayBackpressure::remove(ReaderId reader)
{
    const auto found = m_readers.find(reader);
    if (found != m_readers.end()) {
        m_memory.release(found->second.unread.queued);
        m_unreadBytes -= found->second.unread.queued;
        m_readers.erase(found);
    }
}

bool RelayBackpressure::rests(ReaderId reader) const
{
    const auto found = m_readers.find(reader);
    return found != m_readers.end() && found->second.rests;
}

Duration RelayBackpressure::notReadFor(ReaderId reader, TimePoint now) const
{
    const auto found = m_readers.find(reader);
    return found == m_readers.end() ? Duration::zero() : now - found->second.tookAt;
}

std::size_t RelayBackpressure::queuedBytes(ReaderId reader) const
{
    const auto found = m_readers.find(reader);
    return found == m_readers.end() ? 0 : found->second.unread.queued;
}

std::optional<RelayBackpressure::ReaderId> RelayBackpressure::slowest(Duration atLeast,
                                                                      TimePoint now) const
{
    const auto slower = [](const auto &a, const auto &b) {
        return a.second.tookAt != b.second.tookAt ? a.second.tookAt < b.second.tookAt
                                                  : a.second.unread.queued > b.second.unread.queued;
    };
    const auto found = std::min_element(m_readers.begin(), m_readers.end(), slower);
    if (found == m_readers.end() || now - found->second.tookAt < atLeast) {
        return std::nullopt;
    }
    return found->first;
}

std::vector<RelayBackpressure::ReaderId> RelayBackpressure::notReading(TimePoint now) const
{
    std::vector<ReaderId> all;
    for (const auto &[reader, state] : m_readers) {
        if (now - state.tookAt >= NotReadingLimit) {
            all.push_back(reader);
        }
    }
    return all;
}

std::size_t RelayBackpressure::resting() const
{
    return static_cast<std::size_t>(std::count_if(
        m_readers.begin(), m_readers.end(), [](const auto &entry) { return entry.second.rests; }));
}

} // namespace lycheearch
