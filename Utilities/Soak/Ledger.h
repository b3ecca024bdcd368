#pragma once

#include <map>
#include <string>
#include <vector>

#include "Base/Time.h"

namespace lycheearch::soak {

/// Kind of a request, as its route is configured. It decides whether daemons may run it again.
enum class Kind { Idempotent, Once, Stream };

/// What the caller and the backend servers observed of one request.
struct RequestFate
{
    Kind kind = Kind::Idempotent;
    std::string account;
    TimePoint sentAt;
    int runs = 0; ///< How often a backend server started to run it.
    int status = 0; ///< HTTP status; 0 without a complete response.
    bool answered = false;
    bool refused = false; ///< The status says that the request has not run.
    bool left = false; ///< The connection closed before the answer was complete.
    TimePoint leftAt;
};

/// Checks the documented promises against the events that the simulated callers and backend servers
/// observe, and collects the violations.
class Ledger
{
public:
    void onSent(const std::string &id, Kind kind, const std::string &account, TimePoint now);
    /// A backend server started to run a request. \p account is the one that the daemon forwarded.
    void onRun(const std::string &id, const std::string &account, const std::string &server,
               TimePoint now);
    void onAnswer(const std::string &id, int status, TimePoint now);
    /// The connection of the request closed before its answer was complete.
    void onLeft(const std::string &id, TimePoint now);
    /// Adds a violation that another class detected.
    void report(const std::string &what) { m_broken.push_back(what); }
    /// From \p from on, each request that the draining backend server gets is a violation.
    void forbid(const std::string &server, TimePoint from) { m_forbidden[server] = from; }
    /// Doesn't check time limits until \p until, because an injected fault may delay daemons.
    void excuse(TimePoint until) { m_excusedUntil = std::max(m_excusedUntil, until); }

    /// The violations so far, a message each.
    const std::vector<std::string> &broken() const { return m_broken; }
    const std::map<std::string, RequestFate> &fates() const { return m_fates; }
    /// Share, from 0 to 1, of the requests sent from \p from until before \p until that were
    /// answered with status 200. Excludes abandoned requests; 0 if there are no others.
    double served(TimePoint from, TimePoint until) const;

private:
    std::map<std::string, RequestFate> m_fates;
    std::map<std::string, TimePoint> m_forbidden;
    TimePoint m_excusedUntil;
    std::vector<std::string> m_broken;
};

} // namespace lycheearch::soak
