#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "Base/Time.h"
#include "Forward/BodyBudget.h"

namespace lycheearch {

/// Decides which requests give up their memory when it does not suffice. The load that it answers:
/// callers that begin many large requests and don't complete them, beside ordinary ones.
///
/// What a request holds counts from its first byte until its response is complete. Large requests
/// get only a part of the memory, so that they can't keep small ones out. A request that does not
/// fit takes the memory of one that is incomplete and stalled, or arrives very slowly; without such
/// a request it is refused. Requests that are complete keep their memory.
class RequestMemory
{
public:
    using HolderId = std::uint64_t;

    /// A request that holds more is large.
    static constexpr std::size_t SmallRequestBytes = 64UL * 1024;
    /// An incomplete request of which nothing has arrived for so long is stalled.
    static constexpr Duration StalledAfter = 500ms;
    /// An incomplete request that has been arriving for so long is slow.
    static constexpr Duration SlowAfter = 5s;

    explicit RequestMemory(BodyBudget &budget);

    /// A request begins to arrive.
    void begin(HolderId holder, TimePoint now);
    /// Sets what the request holds in all. Returns false, and changes nothing, if it does not fit.
    bool hold(HolderId holder, std::size_t bytes);
    /// Bytes of the request have arrived.
    void onProgress(HolderId holder, TimePoint now);
    /// The request has arrived whole.
    void onComplete(HolderId holder);
    /// The request is no longer held.
    void release(HolderId holder);
    /// The incomplete request that should give up its memory, so that \p holder can hold \p bytes.
    std::optional<HolderId> candidate(HolderId holder, std::size_t bytes, TimePoint now) const;

    std::size_t heldBytes() const { return m_budget.reservedBytes(); }
    std::size_t limitBytes() const { return m_budget.limitBytes(); }

private:
    struct Holder
    {
        std::size_t bytes = 0;
        TimePoint beganAt;
        TimePoint progressedAt;
        bool incomplete = true;
    };
    using Order = std::set<std::pair<TimePoint, HolderId>>;

    static std::size_t largePart(std::size_t bytes);
    bool largeFits(const Holder &holder, std::size_t bytes) const;
    void removeFromOrders(HolderId id, const Holder &holder);
    std::optional<HolderId> firstBefore(const Order &order, TimePoint limit, HolderId except,
                                        bool onlyLarge) const;

    BodyBudget &m_budget;
    std::size_t m_largeBytes = 0; ///< Held by large requests.
    std::map<HolderId, Holder> m_holders;
    Order m_byProgress; ///< Incomplete requests, by Holder::progressedAt.
    Order m_byBegin; ///< Incomplete requests, by Holder::beganAt.
};

} // namespace lycheearch
