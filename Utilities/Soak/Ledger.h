#pragma once

#include <map>
#include <string>
#include <vector>

#include "Base/Time.h"

namespace lycheearch::soak {

/// How a request may be repeated.
enum class Kind { Idempotent, Once, Stream };

/// What became of one request, as its caller and the backend servers saw it.
struct RequestFate
{
    Kind kind = Kind::Idempotent;
    std::string account;
    TimePoint sentAt;
    int runs = 0;
    int status = 0; ///< 0: no whole answer.
    bool answered = false;
    bool refused = false; ///< The caller was told that it has not run.
    bool left = false; ///< The caller closed its connection.
    TimePoint leftAt;
};

/// Checks the promises of the pages against what callers and backend servers saw.
class Ledger
{
public:
    void onSent(const std::string &id, Kind kind, const std::string &account, TimePoint now);
    /// A backend server began to run a request. \p account is what the daemon named.
    void onRun(const std::string &id, const std::string &account, const std::string &server,
               TimePoint now);
    void onAnswer(const std::string &id, int status, TimePoint now);
    void onLeft(const std::string &id, TimePoint now);
    /// A broken promise that others found.
    void report(const std::string &what) { m_broken.push_back(what); }
    /// A draining backend server may get nothing after \p from.
    void forbid(const std::string &server, TimePoint from) { m_forbidden[server] = from; }
    void excuse(TimePoint until) { m_excusedUntil = std::max(m_excusedUntil, until); }

    const std::vector<std::string> &broken() const { return m_broken; }
    const std::map<std::string, RequestFate> &fates() const { return m_fates; }
    /// Share of the requests sent from \p from to \p until that were answered with success.
    double served(TimePoint from, TimePoint until) const;

private:
    std::map<std::string, RequestFate> m_fates;
    std::map<std::string, TimePoint> m_forbidden;
    TimePoint m_excusedUntil;
    std::vector<std::string> m_broken;
};

} // namespace lycheearch::soak
