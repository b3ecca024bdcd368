#include "Forward/SendOutcomes.h"

namespace lycheearch {

const char *outcomeName(SendOutcome outcome)
{
    switch (outcome) {
    case SendOutcome::Served:
        return "served";
    case SendOutcome::ServerFailed:
        return "server_failed";
    case SendOutcome::Broken:
        return "broken";
    case SendOutcome::Reset:
        return "reset";
    case SendOutcome::Unreachable:
        return "unreachable";
    case SendOutcome::Silent:
        return "silent";
    case SendOutcome::Overloaded:
        return "overloaded";
    case SendOutcome::Misdirected:
        return "misdirected";
    case SendOutcome::Moved:
        return "moved";
    case SendOutcome::Hung:
        return "hung";
    case SendOutcome::Cancelled:
        break;
    }
    return "cancelled";
}

std::optional<bool> versionSuccess(SendOutcome outcome)
{
    switch (outcome) {
    case SendOutcome::Served:
        return true;
    case SendOutcome::ServerFailed:
    case SendOutcome::Broken:
    case SendOutcome::Reset:
    case SendOutcome::Hung:
        return false;
    case SendOutcome::Unreachable:
    case SendOutcome::Silent:
    case SendOutcome::Overloaded:
    case SendOutcome::Misdirected:
    case SendOutcome::Moved:
    case SendOutcome::Cancelled:
        break;
    }
    return std::nullopt;
}

const char *pickFaultMessage(PickFault fault)
{
    switch (fault) {
    case PickFault::NoBackend:
        return "no backend server available";
    case PickFault::AllCold:
        return "the backend servers are cold and at their rate limit";
    case PickFault::AllSilent:
        return "the data centres of the backend servers do not respond";
    case PickFault::AllRateLimited:
        return "the backend servers are at the rate limits that they named";
    case PickFault::AllFull:
        return "the backend servers are brittle and may have no room";
    case PickFault::AllPaused:
        return "the backend servers asked for a pause";
    case PickFault::None:
        break;
    }
    return "none";
}

} // namespace lycheearch
