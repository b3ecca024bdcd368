#pragma once

#include <map>
#include <optional>
#include <vector>

#include "Fleet/FleetView.h"

namespace lycheearch {

/// Counts the outcomes of this daemon's requests by service and version, as evidence for rollouts.
/// The counts of a service begin anew with each rollout order, so that evidence says nothing about
/// the time before it, whatever versions and disruptions there were.
class RolloutCounts
{
public:
    /// Identifies a request in flight.
    using Ticket = std::uint64_t;

    /// Records a request that is sent; the ticket is valid until onEnded().
    Ticket onSent(const ServiceId &service, const VersionId &version, TimePoint now);
    /// Records that the answer of a request has begun.
    void onAnswerBegun(Ticket ticket, TimePoint now);
    /// Records \p events further events of a stream.
    void onEvents(Ticket ticket, int events, TimePoint now);
    /// Records the end of a request. \p good is empty if the outcome says nothing about the
    /// version. \p latency is the mean time between two events of a stream, or the time to the
    /// answer of other requests; it is only counted for good outcomes.
    void onEnded(Ticket ticket, std::optional<bool> good, std::optional<Duration> latency,
                 TimePoint now);
    /// Begins to count for the orders in \p view that are new, and forgets those that are gone.
    void followOrders(const FleetView &view, TimePoint now);
    /// Outcomes for each rollout order that is followed, since this daemon began to follow it:
    /// those of the target version and those of all other versions. Requests in flight count with
    /// the time that they have waited for the begin of the answer, and streams with the gaps
    /// between their events so far.
    std::vector<RolloutEvidence> evidence(const InstanceId &self, const FleetView &view,
                                          TimePoint now) const;

private:
    struct InFlight
    {
        ServiceId service;
        VersionId version;
        TimePoint sentAt;
        bool begun = false;
        TimePoint firstEventAt;
        int events = 0;
    };

    /// A rollout order that is followed.
    struct Order
    {
        VersionId target;
        TimePoint followedSince;
    };

    static void addInFlight(VersionCounts &counts, const InFlight &request, TimePoint now);
    bool follows(const RolloutOrdered &order) const;
    /// Counts only the requests in flight; outcomes so far no longer count.
    void restart(const ServiceId &service);

    std::map<ServiceId, Order> m_orders;
    std::map<ServiceId, std::map<VersionId, VersionCounts>> m_counts;
    std::map<Ticket, InFlight> m_inFlight;
    Ticket m_nextTicket = 1;
};

/// Sum of two counts, field by field.
VersionCounts operator+(const VersionCounts &left, const VersionCounts &right);

} // namespace lycheearch
