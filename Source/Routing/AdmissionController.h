#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Routing/AdmissionQueue.h"
#include "Routing/CapacityForecast.h"
#include "Routing/CapacityShares.h"
#include "Routing/DecayingRatio.h"
#include "Routing/ReturnSchedule.h"

namespace lycheearch {

/// A request that asks for admission.
struct AdmissionRequest
{
    ServiceId service;
    std::uint64_t account = 0; ///< Hash of the client account.
    std::string route;
    int priority = 0; ///< 0 is the highest.
    Duration latencyObjective{};
    TimePoint receivedAt;
    TimePoint deadline;
    std::uint64_t content = 0; ///< Same if the request comes again; 0: not known.
    double work = 1; ///< Weighted work, in any unit that is the same for the service.
    std::size_t bytes = 0; ///< Of its body.
};

/// Whether a request may be sent now.
struct AdmissionDecision
{
    enum class Verdict { Admit, Wait, Refuse };

    Verdict verdict = Verdict::Admit;
    const char *reason = ""; ///< For the log.
    Duration retryAfter{}; ///< Of a refusal.
    Duration expected{}; ///< Time to the first event, by the forecast.
    double keptPart = 1; ///< Part of its requests that the account keeps.
    AdmissionQueue::Ticket ticket = 0; ///< Of a request that waits.
    std::vector<AdmissionQueue::Ticket> evicted; ///< Displaced by this one; must be refused.
};

/// Decides for the requests of one daemon which are sent, which wait and which are refused. It
/// answers the load of callers who compete for too little room at times.
///
/// While places are free, all requests are admitted. Otherwise a request is admitted if its first
/// event is expected within its latency objective, unless its account takes more than its share or
/// a more urgent route of the service is about to miss its objective: then requests of the less
/// urgent route wait for a part of their objective and are refused after it. Requests that can't be
/// in time are refused at once. Routes that were served far less often than all are admitted anyway
/// while they can be served before their deadline. The refused are spread over the time in which
/// there is room; one that comes back earlier than it was asked to is refused until then, and one
/// that comes back on time waits as if since its refusal.
class AdmissionController
{
public:
    /// \p longestWaitPart: part of the latency objective for which a request may wait, 0 to 1.
    AdmissionController(const InstanceId &self, double longestWaitPart);

    void setLongestWaitPart(double part) { m_longestWaitPart = part; }
    /// Decides on a request. \p ticket is that of a waiting one, else 0. A request that is admitted
    /// or refused is no longer in the queue.
    AdmissionDecision decide(const AdmissionRequest &request, const ServiceForecast &forecast,
                             AdmissionQueue::Ticket ticket, TimePoint now);
    /// Records the time to the first event of a request that was admitted, and the forecast at that
    /// time. More urgent requests overtake others at the servers, which the forecast can't know.
    void onFirstEvent(const ServiceId &service, const std::string &route, Duration expected,
                      Duration took, TimePoint now);
    /// Refuses a request that waits or that was evicted; returns its Retry-After.
    Duration refuseWaiting(const AdmissionRequest &request, AdmissionQueue::Ticket ticket,
                           TimePoint now);
    CapacityShares &shares() { return m_shares; }
    const CapacityShares &shares() const { return m_shares; }
    AdmissionQueue &queue() { return m_queue; }

private:
    /// What this daemon saw of a route lately. The counts decay.
    struct RouteUse
    {
        RouteUse();

        int priority = 0;
        double offered = 0;
        double admitted = 0;
        TimePoint countedAt;
        DecayingRatio slowness; ///< Time to the first event by the forecast.
        TimePoint seenAt; ///< Time of the latest forecast.
        double pressure = 0; ///< Expected time to its first event by its objective, then.
    };
    using Routes = std::map<std::string, RouteUse>;

    /// A refused request that may come back.
    struct Return
    {
        TimePoint refusedAt; ///< First refusal.
        TimePoint at; ///< It was asked to come back at this time.
    };

    RouteUse &seen(const AdmissionRequest &request, const ServiceForecast &forecast, TimePoint now);
    /// Time to the first event of a route's requests, by the forecast and what was seen lately.
    static Duration corrected(const RouteUse &route, Duration forecast, TimePoint now);
    /// The last refusal of the request, if it may still come back for it.
    const Return *findReturn(const AdmissionRequest &request, TimePoint now) const;
    bool isEarlyReturn(const AdmissionRequest &request, TimePoint now) const;
    /// Whether a more urgent route of the service is about to miss its objective.
    bool mustYield(const AdmissionRequest &request, TimePoint now) const;
    /// Whether the route was served less often than all routes of the service, by \p ratio.
    bool isOwed(const AdmissionRequest &request, double ratio, TimePoint now) const;
    /// Whether the request is within its account's share, which is only counted while a route of
    /// the service is under pressure. Sets \p kept to the part that the account keeps.
    bool withinShare(const AdmissionRequest &request, double &kept, TimePoint now);
    AdmissionDecision admit(const AdmissionRequest &request, AdmissionDecision decision,
                            const char *reason, AdmissionQueue::Ticket ticket, TimePoint now);
    AdmissionDecision refuse(const AdmissionRequest &request, AdmissionDecision decision,
                             const char *reason, AdmissionQueue::Ticket ticket, TimePoint now);
    AdmissionDecision waitOrRefuse(const AdmissionRequest &request, AdmissionDecision decision,
                                   const char *reason, AdmissionQueue::Ticket ticket,
                                   TimePoint now);
    QueuedRequest queued(const AdmissionRequest &request, TimePoint now) const;
    Duration retryAfter(const AdmissionRequest &request, TimePoint now);
    void rememberReturn(const AdmissionRequest &request, TimePoint at, TimePoint now);

    std::uint64_t m_seed;
    double m_longestWaitPart;
    CapacityShares m_shares;
    AdmissionQueue m_queue;
    ReturnSchedule m_returnSchedule;
    std::map<ServiceId, Routes> m_routes;
    std::map<UseKey, double> m_turns; ///< Fractions of a request that an account may still send.
    std::map<std::uint64_t, Return> m_returns;
    std::deque<std::uint64_t> m_returnOrder; ///< Oldest first.
};

} // namespace lycheearch
