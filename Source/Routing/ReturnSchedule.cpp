#include "Routing/ReturnSchedule.h"

#include <algorithm>

namespace lycheearch {

Duration ReturnSchedule::next(const ServiceId &service, double perSecond, TimePoint now)
{
    const double longest = std::chrono::duration<double>(LongestDelay).count();
    const auto interval = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::min(longest, 1 / perSecond)));
    TimePoint &place = m_lastPlace[service];
    place = std::min(std::max(place, now) + interval, now + LongestDelay);
    return place - now;
}

} // namespace lycheearch
