#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "Base/Ids.h"
#include "Config/Manifest.h"

namespace lycheearch {

/// Identifies a request in the queue. Tickets ascend in the order of arrival.
using Ticket = Quantity<struct TicketTag>;

/// A request that waits for a backend server.
struct Waiter
{
    Ticket ticket;
    std::string pool; ///< Pool of servers that can serve it, see BackendNeed::pool().
    Priority priority = Priority::Normal;
    AccountId account;
    double weight = 1.0; ///< Share of the account relative to other accounts.
};

/// Weighted fair queue of requests that wait for a backend server. The order is by priority, then
/// by the account that was served least relative to its weight, then by arrival. A full queue
/// evicts the last request in this order. Not thread-safe.
class WaitQueue
{
public:
    explicit WaitQueue(std::size_t capacity);

    /// Adds a request and returns its ticket. If the queue is full, evicts the last request in
    /// order, which may be the new one.
    Ticket add(std::string pool, Priority priority, AccountId account, double weight);
    /// Removes a request that was served, timed out or was evicted. If \p served, it is charged to
    /// the account.
    void remove(Ticket ticket, bool served);
    /// Whether the request is queued and no other one of the same pool precedes it.
    bool isNext(Ticket ticket) const;
    /// Whether the request was evicted and not removed since.
    bool wasEvicted(Ticket ticket) const;
    std::size_t size() const { return m_waiting.size(); }

private:
    bool precedes(const Waiter &left, const Waiter &right) const;
    double served(const AccountId &account) const;

    std::size_t m_capacity;
    std::int64_t m_nextTicket = 1;
    std::map<Ticket, Waiter> m_waiting;
    std::set<Ticket> m_evicted;
    std::map<AccountId, double> m_weightedServed; ///< Sum of 1 / weight of the served requests.
};

} // namespace lycheearch
