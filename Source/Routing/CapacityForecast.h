#pragma once

#include <map>

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Routing/DecayingRatio.h"

namespace lycheearch {

/// Places of the servers of a service that a request may be sent to, over all daemons.
struct ServiceOccupancy
{
    int places = 0; ///< Sum of the servers' slots.
    double taken = 0; ///< Requests at the servers, running and waiting.
    int waiting = 0; ///< Of these, waiting ones that servers reported lately.
    Duration age{}; ///< Since the loads of the other daemons were received.

    /// Whether a refusal for want of room would be wrong.
    bool hasFreePlaces() const;
    double ratio() const { return places > 0 ? taken / places : 0; }
};

/// What a request would meet if it were sent now.
struct ServiceForecast
{
    Duration wait{}; ///< Until a server begins with the request.
    Duration work{}; ///< From then until the first event, or the answer of a plain service.
    ServiceOccupancy occupancy;
    bool rejecting = false; ///< A server rejected a request a moment ago for want of room.

    Duration firstEvent() const { return wait + work; }
};

/// Estimates the time to the first event of a request at a service under load. The picker knows
/// how many weighted tokens precede it at an engine and how many requests are at the servers; this
/// turns both into time.
class CapacityForecast
{
public:
    /// For an engine: \p waitTokens precede the \p workTokens of the request.
    static ServiceForecast ofEngine(const ServiceOccupancy &occupancy, double waitTokens,
                                    double workTokens, Duration perToken);
    /// For a plain service, from the mean time that its answers took.
    ServiceForecast ofPlainService(const ServiceId &service, const ServiceOccupancy &occupancy,
                                   TimePoint now) const;
    /// Records the time that an answer of a plain service took, and the occupancy at the time.
    void onAnswered(const ServiceId &service, Duration took, double occupancy, TimePoint now);
    /// Records that a server rejected a request for want of room.
    void onRejected(const ServiceId &service, TimePoint now);

private:
    std::map<ServiceId, DecayingRatio> m_runSeconds; ///< Mean time that a request takes a slot.
    std::map<ServiceId, TimePoint> m_rejectedAt;
};

} // namespace lycheearch
