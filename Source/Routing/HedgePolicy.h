#pragma once

#include <optional>

#include "Base/Time.h"
#include "Routing/LatencyTracker.h"

namespace lycheearch {

/// Quantile of the latencies that moveAfter() starts from. Lower than the share of answers that
/// come in time while one server of ten hangs.
constexpr double UsualShare = 0.85;

/// What a request's caller needs, and how long it has waited.
struct LatenessTerms
{
    Duration objective{}; ///< Target latency of the first event, or of the whole answer.
    Duration beforeSend{}; ///< From the arrival of the request until it was sent to this server.
};

/// The wait after which a request that has no answer yet should be sent elsewhere: later than
/// nearly all answers of its kind usually are, and early enough that another server can still
/// answer within the latency objective.
Duration moveAfter(const std::optional<UsualLatency> &usual, const LatenessTerms &terms);

/// The server that would get a late request, and its service.
struct HedgeTarget
{
    double load = 0; ///< Requests of all daemons per slot, this one included.
    double serviceLoad = 0; ///< The same for all usable servers of the service.
    bool cold = false;
    bool namedLimit = false; ///< It named a rate limit.
    bool brittle = false;
};

/// What the decision to send a late request to a second server depends on.
struct HedgeInput
{
    Duration timeLeft{}; ///< Until the deadline.
    Duration usual{}; ///< Time that the second server usually needs.
    double lateShare = 0; ///< See LatencyTracker::lateShare().
    int serversEnded = 0; ///< Servers that ended under the request.
    std::optional<HedgeTarget> target; ///< Not set if no other server may get the request.
};

/// Why a late request stays where it is.
enum class HedgeRefusal {
    None,
    NotRepeatable, ///< It may not be sent again, or no attempt is left.
    Suspect, ///< A server ended under it.
    Deadline, ///< Another server could not answer in time.
    AllLate, ///< Many requests of the service are late: another server is no faster.
    NoServer,
    Unsuited, ///< The other server is cold, brittle or named a limit.
    Busy, ///< The other server has no free place, or the service is near its limit.
    Limit, ///< The limit on extra requests is reached.
};

/// Decides on a late request from everything but the limits on extra requests. It answers the load
/// of one slow or hanging server among many, without adding work to a service that has no room.
HedgeRefusal hedgeRefusal(const HedgeInput &input);
/// The refusal in log lines and metrics.
const char *refusalName(HedgeRefusal refusal);

} // namespace lycheearch
