#include "Routing/WaitQueue.h"

#include <algorithm>

namespace lycheearch {

WaitQueue::WaitQueue(std::size_t capacity)
    : m_capacity(capacity)
{
}

double WaitQueue::served(const AccountId &account) const
{
    const auto found = m_weightedServed.find(account);
    return found == m_weightedServed.end() ? 0 : found->second;
}

bool WaitQueue::precedes(const Waiter &left, const Waiter &right) const
{
    if (left.priority != right.priority) {
        return left.priority < right.priority;
    }
    const double leftServed = served(left.account);
    const double rightServed = served(right.account);
    if (leftServed != rightServed) {
        return leftServed < rightServed;
    }
    return left.ticket < right.ticket;
}

Ticket WaitQueue::add(std::string pool, Priority priority, AccountId account, double weight)
{
    if (!m_weightedServed.contains(account)) {
        // A new account starts at the smallest amount that another account was served. At zero, it
        // would precede all others for a long time.
        double minAmount = 0;
        for (const auto &[otherAccount, amount] : m_weightedServed) {
            minAmount = minAmount == 0 ? amount : std::min(minAmount, amount);
        }
        m_weightedServed[account] = minAmount;
    }
    const Ticket ticket(m_nextTicket++);
    m_waiting[ticket] = {ticket, std::move(pool), priority, std::move(account), weight};
    if (m_waiting.size() > m_capacity) {
        auto last = m_waiting.begin();
        for (auto it = m_waiting.begin(); it != m_waiting.end(); ++it) {
            if (!precedes(it->second, last->second)) {
                last = it;
            }
        }
        m_evicted.insert(last->first);
        m_waiting.erase(last);
    }
    return ticket;
}

void WaitQueue::remove(Ticket ticket, bool served)
{
    m_evicted.erase(ticket);
    const auto found = m_waiting.find(ticket);
    if (found == m_waiting.end()) {
        return;
    }
    if (served) {
        m_weightedServed[found->second.account] += 1.0 / found->second.weight;
    }
    m_waiting.erase(found);
}

bool WaitQueue::isNext(Ticket ticket) const
{
    const auto found = m_waiting.find(ticket);
    if (found == m_waiting.end()) {
        return false;
    }
    return std::none_of(m_waiting.begin(), m_waiting.end(), [&](const auto &item) {
        return item.first != ticket && item.second.pool == found->second.pool
            && precedes(item.second, found->second);
    });
}

bool WaitQueue::wasEvicted(Ticket ticket) const
{
    return m_evicted.contains(ticket);
}

} // namespace lycheearch
