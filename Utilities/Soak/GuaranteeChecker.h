#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "Base/Time.h"

namespace lycheearch::soak {

/// Kind of a request, as its route is configured. Daemons may not retry a non-idempotent one
/// that may have run.
enum class RequestKind { Idempotent, NonIdempotent, Stream };

/// How a kept connection ended on which a request without an answer had been sent.
enum class ConnectionEnd {
    Orderly, ///< End of the stream without a reset: the daemon has read the request.
    Reset,
};

/// Requests that callers of one daemon sent on kept connections, and how some of them ended
/// without an answer.
struct KeptConnectionCounts
{
    int sent = 0;
    int lost = 0; ///< Violations.
    int dropped = 0; ///< Read and not run; the connection ended about when they were sent.
    int unread = 0; ///< Refused unread, and then repeated.
};

/// What the caller and the backend servers observed of one request.
struct RequestHistory
{
    RequestKind kind = RequestKind::Idempotent;
    std::string account;
    TimePoint sentAt;
    int runs = 0; ///< Number of times that a backend server started to run it.
    int status = 0; ///< HTTP status; 0 without a complete response.
    bool answered = false;
    bool refused = false; ///< The status says that the request has not run.
    bool crashing = false; ///< Ends each server that runs it, and is not owed an answer.
    bool abandoned = false; ///< The connection closed before the answer was complete.
    TimePoint abandonedAt;
};

/// Checks the documented guarantees against the events that the simulated callers and backend
/// servers observe, and collects the violations.
class GuaranteeChecker
{
public:
    void onSent(const std::string &id, RequestKind kind, const std::string &account, TimePoint now);
    /// A backend server started to run a request. \p account is the one that the daemon forwarded.
    void onRun(const std::string &id, const std::string &account, const std::string &server,
               TimePoint now);
    void onAnswer(const std::string &id, int status, TimePoint now);
    /// The connection of the request closed before its answer was complete.
    void onAbandoned(const std::string &id, TimePoint now);
    /// The request was sent whole on a kept connection that was open for its caller.
    void onSentOnKeptConnection(const std::string &id) { ++countsOf(id).sent; }
    /// The kept connection of a request ended at \p now before the answer was complete. Returns
    /// whether the caller may repeat the request under its id, because it has not been read.
    bool onCut(const std::string &id, ConnectionEnd end, TimePoint now);
    /// A request that ends each server that runs it was sent; it comes again under other ids.
    void onCrashingSent(const std::string &id, TimePoint now);
    /// A backend server names a rate limit from now on, in requests per second of all daemons.
    void beginRateLimit(const std::string &server, double perSecond, TimePoint now);
    void endRateLimit(const std::string &server) { m_rateLimits.erase(server); }
    /// The backend servers of the service are brittle from now on until endBrittle().
    void beginBrittle(TimePoint now);
    /// A brittle server fell over.
    void onFall(const std::string &server, TimePoint now);
    /// Checks how often the \p servers of the service fell over while they were brittle.
    void endBrittle(int servers);
    /// Checks what the callers of daemons that were cut off from all backend servers got, from some
    /// time after \p cutAt until \p restoredAt. The ids of their requests begin with one of
    /// \p prefixes. They must be served nearly as often as those of the other daemons.
    void checkCutOff(const std::vector<std::string> &prefixes, TimePoint cutAt,
                     TimePoint restoredAt);
    /// Adds a violation that another class detected.
    void addViolation(const std::string &what) { m_violations.push_back(what); }
    /// Treats each request that the draining backend server \p server receives after \p from as a
    /// violation.
    void forbidRequests(const std::string &server, TimePoint from)
    {
        m_requestsForbiddenFrom[server] = from;
    }
    /// Suspends the check of time limits until \p until, because an injected fault may delay
    /// daemons.
    void suspendTimeLimits(TimePoint until)
    {
        m_timeLimitsSuspendedUntil = std::max(m_timeLimitsSuspendedUntil, until);
    }

    /// Messages of the violations so far, one each.
    const std::vector<std::string> &violations() const { return m_violations; }
    const std::map<std::string, RequestHistory> &histories() const { return m_histories; }
    /// By the first part of the ids of the requests, see LinkCuts::idPrefixOf.
    const std::map<std::string, KeptConnectionCounts> &keptConnections() const
    {
        return m_keptConnections;
    }
    /// Share, from 0 to 1, of the requests sent from \p from until before \p until that were
    /// answered with status 200. Excludes abandoned requests; 0 if there are no others.
    double servedShare(TimePoint from, TimePoint until) const;

private:
    /// A rate limit that a backend server names, and the requests that it received.
    struct RateLimit
    {
        double perSecond = 0;
        TimePoint since;
        std::deque<TimePoint> arrivals; ///< Of the last RateLimitWindow.
    };

    void checkRateLimit(const std::string &server, TimePoint now);
    void checkCrash(const RequestHistory &history, TimePoint now);
    KeptConnectionCounts &countsOf(const std::string &id);

    std::map<std::string, RequestHistory> m_histories;
    std::map<std::string, KeptConnectionCounts> m_keptConnections;
    std::map<std::string, RateLimit> m_rateLimits;
    int m_crashes = 0; ///< Servers that ended under the crashing request.
    TimePoint m_thirdCrashAt;
    int m_laterCrashes = 0;
    TimePoint m_brittleSince; ///< Unset if the servers are not brittle.
    int m_falls = 0;
    std::map<std::string, TimePoint> m_requestsForbiddenFrom;
    TimePoint m_timeLimitsSuspendedUntil;
    std::vector<std::string> m_violations;
};

} // namespace lycheearch::soak
