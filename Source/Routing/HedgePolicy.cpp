#include "Routing/HedgePolicy.h"

#include <algorithm>

namespace lycheearch {

namespace {

/// An answer within this part of its objective is in time whatever others need.
constexpr int FloorDivisor = 4;
/// An answer later than these multiples of the usual latency is late: the first if the objective
/// leaves room for another server, the second at least.
constexpr double LateFactor = 2.5;
constexpr double MinLateFactor = 1.5;
/// Above this share of late requests, the service is slow and not one server.
constexpr double MaxLateShare = 0.25;
/// Above this load, in requests per slot, extra requests delay others.
constexpr double MaxServiceLoad = 0.85;
/// Time that must be left beyond the usual latency, for the connection and the way back.
constexpr Duration MinTimeLeft = 30ms;

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace

Duration moveAfter(const std::optional<UsualLatency> &usual, const LatenessTerms &terms)
{
    const Duration floor = terms.objective / FloorDivisor;
    if (!usual) {
        return terms.objective;
    }
    const Duration latest = terms.objective - terms.beforeSend - usual->latency;
    const Duration late = std::min(scaled(usual->latency, LateFactor),
                                   std::max(latest, scaled(usual->latency, MinLateFactor)));
    return std::max(late, floor);
}

HedgeRefusal hedgeRefusal(const HedgeInput &input)
{
    if (input.serversEnded > 0) {
        return HedgeRefusal::Suspect;
    }
    if (input.timeLeft <= input.usual + MinTimeLeft) {
        return HedgeRefusal::Deadline;
    }
    if (input.lateShare > MaxLateShare) {
        return HedgeRefusal::AllLate;
    }
    if (!input.target) {
        return HedgeRefusal::NoServer;
    }
    if (input.target->cold || input.target->namedLimit || input.target->brittle) {
        return HedgeRefusal::Unsuited;
    }
    if (input.target->load > 1 || input.target->serviceLoad > MaxServiceLoad) {
        return HedgeRefusal::Busy;
    }
    return HedgeRefusal::None;
}

const char *refusalName(HedgeRefusal refusal)
{
    switch (refusal) {
    case HedgeRefusal::NotRepeatable:
        return "not_repeatable";
    case HedgeRefusal::Suspect:
        return "suspect";
    case HedgeRefusal::Deadline:
        return "deadline";
    case HedgeRefusal::AllLate:
        return "all_late";
    case HedgeRefusal::NoServer:
        return "no_server";
    case HedgeRefusal::Unsuited:
        return "unsuited";
    case HedgeRefusal::Busy:
        return "busy";
    case HedgeRefusal::Limit:
        return "limit";
    case HedgeRefusal::None:
        break;
    }
    return "none";
}

} // namespace lycheearch
