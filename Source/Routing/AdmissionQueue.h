#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Base/Ids.h"
#include "Base/Time.h"

namespace lycheearch {

/// Limits of the requests that wait in a daemon.
struct AdmissionQueueLimits
{
    std::size_t requests = 256;
    std::size_t bytes = 8UL * 1024 * 1024; ///< Of their bodies.
};

/// A request that waits for a place.
struct QueuedRequest
{
    ServiceId service;
    int priority = 0; ///< 0 is the highest.
    double served = 0; ///< Work of its account that was served lately, relative to its weight.
    TimePoint since; ///< When it came, or when it was first refused.
    TimePoint until; ///< It waits no longer.
    std::size_t bytes = 0;
};

/// The requests of a daemon that wait for a place at a backend server: the most urgent first, then
/// that of the account that was served least, then the earliest. It answers the load of a burst
/// that passes within the time that its callers have. Bounded in number and bytes: a request that
/// would exceed them isn't taken, unless it precedes the last one, which is then removed.
class AdmissionQueue
{
public:
    using Ticket = std::uint64_t; ///< Not 0.

    explicit AdmissionQueue(AdmissionQueueLimits limits = {})
        : m_limits(limits)
    {
    }

    void setLimits(AdmissionQueueLimits limits) { m_limits = limits; }
    /// Adds a request. Returns std::nullopt if there is no room for it. Requests that gave way to
    /// it are added to \p evicted and must be refused.
    std::optional<Ticket> add(QueuedRequest request, std::vector<Ticket> &evicted);
    void remove(Ticket ticket);
    /// Whether a waiting request precedes \p request, which is not in the queue or is \p own.
    bool precedes(const QueuedRequest &request, Ticket own = 0) const;
    /// The first request of each service.
    std::map<ServiceId, Ticket> firsts() const;
    /// The first request of a service.
    std::optional<Ticket> first(const ServiceId &service) const;
    const QueuedRequest *find(Ticket ticket) const;
    std::size_t size() const { return m_waiting.size(); }
    std::size_t bytes() const { return m_bytes; }
    /// The requests whose time has passed.
    std::vector<Ticket> expired(TimePoint now) const;

private:
    /// Whether \p left comes before \p right.
    static bool before(const QueuedRequest &left, const QueuedRequest &right);
    bool fits(std::size_t bytes) const;

    AdmissionQueueLimits m_limits;
    Ticket m_last = 0;
    std::map<Ticket, QueuedRequest> m_waiting;
    std::size_t m_bytes = 0;
};

} // namespace lycheearch
