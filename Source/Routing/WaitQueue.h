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

/// Place of a request in the queue.
using Ticket = Quantity<struct TicketTag>;

/// A request that waits for a backend server.
struct Waiter
{
    Ticket ticket;
    std::string pool;
    Priority priority = Priority::Normal;
    AccountId account;
    double weight = 1.0;
};

/// Decides the order in which waiting requests are served: by priority, then the account that was
/// served least for its weight, then by arrival. When it is full, the least important and newest
/// request makes room. Not thread-safe.
class WaitQueue
{
public:
    explicit WaitQueue(std::size_t capacity);

    /// Adds a request and returns its ticket.
    Ticket add(std::string pool, Priority priority, AccountId account, double weight);
    /// Removes a request that was served, gave up or was turned away.
    void remove(Ticket ticket, bool served);
    /// Whether no other request of the same pool goes before it.
    bool isNext(Ticket ticket) const;
    /// Whether the request had to make room for a more important one.
    bool turnedAway(Ticket ticket) const;
    std::size_t size() const { return m_waiting.size(); }

private:
    bool before(const Waiter &left, const Waiter &right) const;
    double served(const AccountId &account) const;

    std::size_t m_capacity;
    std::int64_t m_nextTicket = 1;
    std::map<Ticket, Waiter> m_waiting;
    std::set<Ticket> m_turnedAway;
    std::map<AccountId, double> m_served; ///< Requests served, divided by the weight.
};

} // namespace lycheearch
