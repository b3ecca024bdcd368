#include "Routing/AdmissionQueue.h"

#include <algorithm>
#include <tuple>

namespace lycheearch {

bool AdmissionQueue::before(const QueuedRequest &left, const QueuedRequest &right)
{
    return std::tie(left.priority, left.served, left.since)
        < std::tie(right.priority, right.served, right.since);
}

bool AdmissionQueue::fits(std::size_t bytes) const
{
    return m_waiting.size() < m_limits.requests && m_bytes + bytes <= m_limits.bytes;
}

std::optional<AdmissionQueue::Ticket> AdmissionQueue::add(QueuedRequest request,
                                                          std::vector<Ticket> &evicted)
{
    if (request.bytes > m_limits.bytes) {
        return std::nullopt;
    }
    while (!fits(request.bytes)) {
        const auto last = std::max_element(
            m_waiting.begin(), m_waiting.end(),
            [](const auto &left, const auto &right) { return before(left.second, right.second); });
        if (last == m_waiting.end() || !before(request, last->second)) {
            return std::nullopt;
        }
        evicted.push_back(last->first);
        remove(last->first);
    }
    m_bytes += request.bytes;
    m_waiting.emplace(++m_last, std::move(request));
    return m_last;
}

void AdmissionQueue::remove(Ticket ticket)
{
    const auto found = m_waiting.find(ticket);
    if (found != m_waiting.end()) {
        m_bytes -= found->second.bytes;
        m_waiting.erase(found);
    }
}

bool AdmissionQueue::precedes(const QueuedRequest &request, Ticket own) const
{
    return std::any_of(m_waiting.begin(), m_waiting.end(), [&](const auto &entry) {
        return entry.first != own && entry.second.service == request.service
            && before(entry.second, request);
    });
}

std::map<ServiceId, AdmissionQueue::Ticket> AdmissionQueue::firsts() const
{
    std::map<ServiceId, Ticket> firsts;
    for (const auto &[ticket, request] : m_waiting) {
        Ticket &best = firsts[request.service];
        if (best == 0 || before(request, m_waiting.at(best))) {
            best = ticket;
        }
    }
    return firsts;
}

std::optional<AdmissionQueue::Ticket> AdmissionQueue::first(const ServiceId &service) const
{
    const std::map<ServiceId, Ticket> all = firsts();
    const auto found = all.find(service);
    return found == all.end() ? std::nullopt : std::optional(found->second);
}

const QueuedRequest *AdmissionQueue::find(Ticket ticket) const
{
    const auto found = m_waiting.find(ticket);
    return found == m_waiting.end() ? nullptr : &found->second;
}

std::vector<AdmissionQueue::Ticket> AdmissionQueue::expired(TimePoint now) const
{
    std::vector<Ticket> tickets;
    for (const auto &[ticket, request] : m_waiting) {
        if (request.until <= now) {
            tickets.push_back(ticket);
        }
    }
    return tickets;
}

} // namespace lycheearch
