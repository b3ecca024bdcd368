#pragma once

#include <map>
#include <set>
#include <vector>

#include "Routing/CrashEvidence.h"

namespace lycheearch {

/// Decides which whole requests crash servers, from the servers that ended under them.
///
/// All requests on a server end with it, and sound ones that wait there for long may end with
/// several servers. But the cause ran on all of the servers that it ended, so no request beside it
/// shares more of them. Of requests that share servers, only the one with the most evidence is
/// condemned; if none stands out, the next crash mostly tells them apart.
class RequestSuspects
{
public:
    /// The evidence against one request.
    struct Suspect
    {
        SuspectKey key;
        std::set<std::uint64_t> servers; ///< That ended under it.
        std::set<std::uint64_t> begun; ///< Those of them that had begun to answer it.
        std::set<std::uint64_t> arrivals; ///< Ids under which it came.
        bool served = false; ///< Within the memory of the daemons, but not since the crashes.
        bool condemned = false;
    };

    /// Adds a connection that was lost under a request which was not served since.
    void add(const RequestCrash &crash, bool served, bool condemned);
    /// The requests to condemn, of those that are not condemned yet.
    std::vector<Suspect> convicted() const;

private:
    /// Whether \p other explains crashes that the two share at least as well.
    static bool explainsBetter(const Suspect &other, const Suspect &suspect);
    bool isConvicted(const Suspect &suspect) const;

    std::map<SuspectKey, Suspect> m_suspects;
    std::map<std::uint64_t, std::vector<SuspectKey>> m_suspectsOf; ///< By server.
};

} // namespace lycheearch
