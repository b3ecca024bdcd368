#include "Routing/CapacityForecast.h"

#include <algorithm>

namespace lycheearch {

namespace {

using Seconds = std::chrono::duration<double>;

/// Places count as free up to this ratio. It leaves room for loads that are some hundred
/// milliseconds old: nothing may be refused while less than half of the places are taken.
constexpr double FreeRatio = 0.65;
/// Estimate of the time of an answer of a plain service before the first one.
constexpr double DefaultRunSeconds = 0.03;
constexpr double DefaultRunWeight = 4; ///< As a number of answers.
constexpr Duration RunTimeConstant = 6s;
/// After a rejection, the servers are taken to be full for this time, the period of the loads.
constexpr Duration RejectionLifetime = 200ms;

Duration fromSeconds(double seconds)
{
    constexpr double longest = 3600;
    return std::chrono::duration_cast<Duration>(Seconds(std::clamp(seconds, 0.0, longest)));
}

} // namespace

bool ServiceOccupancy::hasFreePlaces() const
{
    return taken < FreeRatio * places && waiting == 0;
}

ServiceForecast CapacityForecast::ofEngine(const ServiceOccupancy &occupancy, double waitTokens,
                                           double workTokens, Duration perToken)
{
    const double seconds = Seconds(perToken).count();
    return {fromSeconds(seconds * waitTokens), fromSeconds(seconds * workTokens), occupancy, false};
}

ServiceForecast CapacityForecast::ofPlainService(const ServiceId &service,
                                                 const ServiceOccupancy &occupancy,
                                                 TimePoint now) const
{
    const auto found = m_runSeconds.find(service);
    const double run = found == m_runSeconds.end() ? DefaultRunSeconds : found->second.value(now);
    const double places = std::max(1, occupancy.places);
    double ahead = std::max(0.0, occupancy.taken + 1 - places);
    const auto rejected = m_rejectedAt.find(service);
    const bool rejecting =
        rejected != m_rejectedAt.end() && now - rejected->second < RejectionLifetime;
    if (rejecting) {
        ahead = std::max(ahead, places); // At least one request for each place is taken to wait.
    }
    return {fromSeconds(run * ahead / places), fromSeconds(run), occupancy, rejecting};
}

void CapacityForecast::onAnswered(const ServiceId &service, Duration took, double occupancy,
                                  TimePoint now)
{
    // With more requests than places, part of the time was a wait.
    const double run = Seconds(took).count() / std::max(1.0, occupancy);
    m_runSeconds
        .try_emplace(service, DecayingRatio(DefaultRunSeconds, DefaultRunWeight, RunTimeConstant))
        .first->second.add(run, 1, now);
}

void CapacityForecast::onRejected(const ServiceId &service, TimePoint now)
{
    m_rejectedAt[service] = now;
}

} // namespace lycheearch
