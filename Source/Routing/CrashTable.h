#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "Routing/CondemnedTable.h"
#include "Routing/CrashEvidence.h"
#include "Routing/RequestFamilies.h"
#include "Routing/RequestSuspects.h"

namespace lycheearch {

/// Finds the requests and the prompt parts that crash servers, and has them refused. It answers two
/// loads: a caller that repeats a request under which every server ends, at any daemon; and a
/// caller whose requests, all different, share one part of their prompts under which every server
/// ends.
///
/// A crash ends all requests on its server, so each of them, and each part of their prompts, is a
/// suspect. What tells them apart:
/// - a part that is served elsewhere is not the cause; the daemons object with their latest success
///   during ObjectionTime;
/// - the cause has a part in most crashes of its time, while a loss of many servers at once ends
///   requests with all kinds of parts;
/// - a crash that a condemned part explains is no evidence against the other parts of the prompt,
///   nor against the requests beside it; one that a condemned request explains is none against the
///   requests beside it;
/// - a part counts once for each content, so that a request that is repeated doesn't condemn the
///   parts of its prompt.
///
/// A whole request is the narrowest suspect, see RequestSuspects: a wrong verdict hits only its
/// repetitions. A request that differs a little each time it comes is found by what stays the same,
/// see RequestFamilies. Both are refused to their account only. A part is condemned for one client
/// account. If the parts of several accounts are condemned, it is refused to all: so a single
/// account can't have the prompts of another one refused.
class CrashTable
{
public:
    /// An answer that breaks off later after its begin, or not at all, counts as served.
    static constexpr Duration CrashWindow = 2s;

    /// What a decision is about. It is not known, nor are its counts, if another daemon decided.
    enum class SuspectKind { Part, Request, Family, Learned };

    /// A decision, for the log.
    struct Verdict
    {
        SuspectKey key;
        std::size_t servers = 0; ///< That ended under the part.
        std::size_t requests = 0; ///< Under which they ended.
        std::size_t allServers = 0; ///< That ended in the same time under any request.
        bool served = false; ///< Whether the part had been served before.
        SuspectKind kind = SuspectKind::Learned;
    };

    /// Records an answer of this daemon that broke off; its age is ignored.
    void recordCrash(RequestCrash crash, TimePoint now);
    /// Records an answer of this daemon that was served.
    void recordSuccess(std::uint64_t account, const std::vector<std::uint64_t> &parts,
                       const RequestIdentity &identity, TimePoint now);
    /// Withdraws the crashes without an answer of a request of this daemon that was served after
    /// all: it only ran beside the cause.
    void withdrawCrashes(std::uint64_t request);
    /// Adds what another daemon told.
    void apply(const CrashEvidence &evidence, TimePoint now);
    /// Condemns a part that another daemon condemned.
    void condemn(const CondemnedSuspect &part, TimePoint now);
    /// What the other daemons need to be told now. Each entry is repeated for some time, as
    /// messages may be lost.
    CrashEvidence takeUnpublished(TimePoint now);

    /// The part because of which a request must not be sent to a server, if any.
    std::optional<std::uint64_t>
    refusedPart(std::uint64_t account, const std::vector<std::uint64_t> &parts, TimePoint now);
    /// Whether a request of the account with this identity must not be sent to a server.
    bool refusesRequest(std::uint64_t account, const RequestIdentity &identity, TimePoint now);
    /// Number of servers that ended under the request since it was last served, or under a family
    /// of it that was never served, as far as known. Each further attempt may cost one more.
    std::size_t serversEndedUnder(std::uint64_t account, const RequestIdentity &identity) const;
    /// Decides on the parts under suspicion.
    void evaluate(TimePoint now);
    /// Returns and clears the decisions since the last call.
    std::vector<Verdict> takeVerdicts() { return std::exchange(m_verdicts, {}); }
    /// All parts that are condemned.
    std::vector<CondemnedSuspect> condemned(TimePoint now) const { return m_condemned.all(now); }

private:
    struct Crash
    {
        RequestCrash report;
        TimePoint at;
        TimePoint receivedAt;
        TimePoint publishedAt; ///< Unset if not published; only for the crashes of this daemon.
        bool own = false;
    };

    /// The evidence against one part.
    struct Suspect
    {
        SuspectKey key;
        std::set<std::uint64_t> servers;
        std::set<std::uint64_t> requests; ///< Their contents, or ids if these are not known.
        TimePoint first;
        TimePoint last;
        bool served = false; ///< Within the memory of the daemons.
    };

    struct Success
    {
        TimePoint at;
        TimePoint publishedAt;
        bool own = false;
    };

    void addCrash(Crash crash, TimePoint now);
    /// Drops the oldest crash of the account with the most of them, so that an account can't push
    /// out the evidence of another one.
    void dropOldestCrash();
    std::deque<Crash>::iterator eraseCrash(const std::deque<Crash>::iterator &crash);
    void forgetOld(TimePoint now);
    bool explainedByPart(const RequestCrash &crash) const;
    std::map<SuspectKey, Suspect> suspects(TimePoint now) const;
    void addToSuspect(Suspect &suspect, const Crash &crash) const;
    bool publishes(const Crash &crash, TimePoint now) const;
    bool convicts(const Suspect &suspect, TimePoint now) const;
    std::size_t serversEnded(TimePoint from, TimePoint to) const;
    std::optional<Suspect> worstSuspect(TimePoint now) const;
    /// The evidence against whole requests, beside that against families.
    RequestSuspects requestSuspects(const RequestFamilies &families, TimePoint now) const;
    RequestFamilies requestFamilies(TimePoint now) const;
    /// The families under which enough connections were lost for a verdict. Most requests have
    /// families of their own, which would only cost time.
    std::set<SuspectKey> familiesLostOften() const;
    void condemnRequests(TimePoint now);
    /// Whether the crash is old enough for objections, and no condemned part explains it.
    bool isEvidence(const Crash &crash, const std::set<std::uint64_t> &endedByParts,
                    TimePoint now) const;
    bool acquitted(const SuspectKey &key, TimePoint crashedAt, TimePoint now) const;
    /// Servers whose end a condemned part explains.
    std::set<std::uint64_t> serversEndedByParts() const;
    /// Whether a server ended under the part, the whole request or the family.
    bool isSuspect(const SuspectKey &key) const;
    std::optional<TimePoint> lastSuccess(const SuspectKey &key) const;
    void noteOwnSuccess(const SuspectKey &key);

    std::deque<Crash> m_crashes;
    std::map<std::uint64_t, std::size_t> m_crashCounts; ///< Of m_crashes, by account.
    std::map<SuspectKey, Success> m_successes; ///< Of the parts under suspicion.
    /// Latest successes of this daemon in two generations, the older of which is dropped whole.
    std::unordered_map<std::uint64_t, TimePoint> m_ownSuccesses;
    std::unordered_map<std::uint64_t, TimePoint> m_olderOwnSuccesses;
    CondemnedTable m_condemned;
    TimePoint m_condemnedPublishedAt;
    TimePoint m_evaluatedAt;
    std::vector<Verdict> m_verdicts;
};

} // namespace lycheearch
