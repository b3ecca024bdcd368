#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Base/Time.h"
#include "Forward/BodyBudget.h"

namespace lycheearch {

/// What a caller has not read of its responses.
struct UnreadBytes
{
    std::size_t queued = 0; ///< Held by this process.
    std::uint64_t taken = 0; ///< Received by the caller on this connection, in all.
};

/// Decides what becomes of responses whose callers read slowly or not at all. The load that it
/// answers: some hundred such callers beside calm ones, at a daemon with 88 to 512 MB.
///
/// Reading from a server rests while its caller has more unread than an eighth of what is free of
/// this daemon's room for unread bytes, so that callers share it whatever their number, and a
/// single one takes no more than HighWatermarkBytes. The room is half of the memory for responses;
/// what is unread counts toward that memory. If the memory is exhausted, the response goes whose
/// caller has taken nothing for the longest time. One that takes any byte now and then is kept as
/// long as memory is left.
class RelayBackpressure
{
public:
    using ReaderId = std::uint64_t; ///< A caller's connection.

    static constexpr std::size_t HighWatermarkBytes = 256UL * 1024;
    /// A caller that takes no byte for this long is ended. More than a lost link may take to come
    /// back (TCP_USER_TIMEOUT of callers).
    static constexpr Duration NotReadingLimit = 5s;
    /// Part of the memory that may be used beyond it while all callers read.
    static constexpr std::size_t OverdraftDivisor = 4;
    /// A caller that took bytes within this time isn't ended to free memory for other responses.
    static constexpr Duration RecentlyRead = 1s;

    explicit RelayBackpressure(BodyBudget &memory);

    /// Applies what the caller has unread now. Returns false, and applies nothing, if the memory
    /// does not suffice; with \p beyondLimit, it is applied unless that exceeds the memory by more
    /// than a part of it, see OverdraftDivisor.
    bool update(ReaderId reader, const UnreadBytes &unread, TimePoint now,
                bool beyondLimit = false);
    /// The caller's connection has closed, or it has read all.
    void remove(ReaderId reader);

    /// Whether reading from the caller's server rests.
    bool rests(ReaderId reader) const;
    bool contains(ReaderId reader) const { return m_readers.contains(reader); }
    /// For how long the caller has taken nothing; zero if it has nothing unread.
    Duration notReadFor(ReaderId reader, TimePoint now) const;
    std::size_t queuedBytes(ReaderId reader) const;
    /// The caller that has taken nothing for the longest time, and of several the one with the most
    /// unread. \p atLeast: only callers that have taken nothing for so long.
    std::optional<ReaderId> slowest(Duration atLeast, TimePoint now) const;
    /// Callers that have taken nothing for NotReadingLimit.
    std::vector<ReaderId> notReading(TimePoint now) const;

    /// What a caller may leave unread now before reading from its server rests.
    std::size_t watermark() const;
    std::size_t unreadBytes() const { return m_unreadBytes; }
    std::size_t readers() const { return m_readers.size(); }
    std::size_t resting() const;

private:
    struct Reader
    {
        UnreadBytes unread;
        TimePoint tookAt; ///< When it last took a byte, or when it first left one.
        bool rests = false;
    };

    BodyBudget &m_memory;
    std::map<ReaderId, Reader> m_readers;
    std::size_t m_unreadBytes = 0; ///< Reserved in m_memory.
};

} // namespace lycheearch
