#pragma once

#include <map>
#include <set>
#include <vector>

#include "Routing/CrashEvidence.h"

namespace lycheearch {

/// Decides which families of requests (see RequestIdentity) crash servers. It answers the load of a
/// caller that repeats a request which differs a little each time, so that no whole request has
/// enough evidence.
///
/// Sound requests may be of the family, most of all where prompts stand in the head and bodies say
/// little. So a family needs more evidence than a whole request does:
/// - none of its requests was served within the memory of the daemons;
/// - a server counts if one request of the family was lost there: the cause ends its server at
///   once, whereas several requests of a popular family run beside each other;
/// - the servers ended one after the other, or hardly any others ended meanwhile: a loss of many
///   servers at once has requests of all kinds;
/// - neither one request of the family, nor another family that is condemned, explains the crashes;
/// - from few servers, it is condemned only if nothing else was lost on all of them.
class RequestFamilies
{
public:
    /// Distinct servers that must have ended under a family.
    static constexpr std::size_t MinServers = 3;

    /// The evidence against one family.
    struct Suspect
    {
        SuspectKey key;
        std::map<std::uint64_t, std::set<std::uint64_t>> requestsOf; ///< Lost, by server.
        std::map<std::uint64_t, TimePoint> endedAt; ///< Of the servers.
        std::map<std::uint64_t, std::set<std::uint64_t>> serversOf; ///< By content.
        std::size_t width = 0; ///< Position in RequestIdentity::families, 0 is the narrowest.
        bool condemned = false;

        /// The servers that count, in the order in which they ended.
        std::vector<std::uint64_t> servers() const;
    };

    /// Adds a server that ended under any request.
    void addEnded(std::uint64_t server, TimePoint at);
    /// Adds a connection that was lost under a request that was not served since, whatever its
    /// families.
    void addRequest(const RequestCrash &crash);
    /// The same, at \p at, for a family of it that was not served.
    void add(const RequestCrash &crash, std::size_t width, bool condemned, TimePoint at);
    /// Servers that a condemned family ended, with the number of servers that it ended in all.
    std::map<std::uint64_t, std::size_t> serversOfCondemned() const;
    /// The families to condemn, narrowest first, of those that are not condemned yet.
    std::vector<Suspect> convicted() const;

private:
    using Servers = std::vector<std::uint64_t>;

    bool isConvicted(const Suspect &suspect, const std::vector<Suspect> &causes) const;
    /// Those servers of the suspect that no cause with as many servers explains.
    static Servers unexplained(const Suspect &suspect, const std::vector<Suspect> &causes);
    /// Whether the servers ended one after the other, or hardly any others ended meanwhile.
    bool standsOut(const Suspect &suspect, const Servers &servers) const;
    /// Whether a request that is not of the family, or another family, was lost on all servers.
    bool hasRival(const Suspect &suspect, const Servers &servers) const;

    std::map<SuspectKey, Suspect> m_suspects;
    std::map<std::uint64_t, TimePoint> m_ended; ///< All servers that ended.
    std::map<SuspectKey, std::set<std::uint64_t>> m_serversOfRequests; ///< By content.
};

} // namespace lycheearch
