#pragma once

#include <map>

#include "Base/Ids.h"
#include "Base/Time.h"

namespace lycheearch {

/// Decides when callers may come back that were refused because all servers of a service are at the
/// rate limits that they named. It answers the load of a service that takes fewer requests than
/// come: if all callers came back after the same time, they would be refused again together. So
/// each one gets the next place in this daemon's share of the limits.
class ReturnSchedule
{
public:
    /// Upper limit of the delay; callers that are refused later all get it.
    static constexpr Duration LongestDelay = 10s;

    /// Time after which the next refused caller may come back. \p perSecond is the rate at which
    /// this daemon may send to the servers, more than 0.
    Duration next(const ServiceId &service, double perSecond, TimePoint now);

private:
    std::map<ServiceId, TimePoint> m_lastPlace;
};

} // namespace lycheearch
