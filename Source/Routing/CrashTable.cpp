#include "Routing/CrashTable.h"

#include <algorithm>

#include "Base/Hash.h"

namespace lycheearch {

namespace {

/// Crashes are evidence for this long.
constexpr Duration CrashLifetime = 60s;
constexpr std::size_t MaxCrashes = 512;
/// Own successes remembered in each of two generations.
constexpr std::size_t MaxOwnSuccesses = 12'288;
/// Successes of suspects, above which those are forgotten that are no suspects any more.
constexpr std::size_t MaxSuspectSuccesses = 4096;

/// Distinct servers that must have ended, under as many distinct requests.
constexpr std::size_t MinCrashes = 3;
/// The same since the last success, for a part that was served within the memory of the daemons.
constexpr std::size_t MinCrashesOfServedPart = 6;
/// Time without a success after which a part that was served can be condemned.
constexpr Duration MinTimeSinceSuccess = 3s;
/// Share of all servers that ended in the same time, which must have ended under the part.
constexpr double MinShareOfCrashes = 0.4;
/// Crashes closer together than this are looked at as simultaneous.
constexpr Duration SimultaneousCrashes = 200ms;
/// Time for other daemons to report a success.
constexpr Duration ObjectionTime = 800ms;

constexpr Duration EvaluationPeriod = 100ms;
/// Bounds the work of one evaluation while a caller crashes servers in many ways.
constexpr int MaxVerdictsPerEvaluation = 8;
constexpr Duration CrashPublishPeriod = 1s;
constexpr Duration CrashPublishLifetime = 10s;
/// The same for connections lost before any answer: a server that ends loses many of them.
constexpr Duration LostPublishLifetime = 1500ms;
constexpr Duration SuccessPublishPeriod = 1s;
constexpr Duration CondemnedPublishPeriod = 2s;

std::uint64_t hashOf(const SuspectKey &key)
{
    return mixBits(key.account ^ mixBits(key.hash));
}

/// The content, if it is known, and the families.
std::vector<std::uint64_t> hashesOf(const RequestIdentity &identity)
{
    std::vector<std::uint64_t> hashes = identity.families;
    if (identity.content != 0) {
        hashes.push_back(identity.content);
    }
    return hashes;
}

bool includes(const std::vector<std::uint64_t> &hashes, std::uint64_t hash)
{
    return std::find(hashes.begin(), hashes.end(), hash) != hashes.end();
}

} // namespace

void CrashTable::recordCrash(RequestCrash crash, TimePoint now)
{
    crash.age = Duration::zero();
    addCrash({std::move(crash), now, now, TimePoint(), true}, now);
}

void CrashTable::addCrash(Crash crash, TimePoint now)
{
    const bool known = std::any_of(m_crashes.begin(), m_crashes.end(), [&](const Crash &other) {
        return other.report.request == crash.report.request
            && other.report.server == crash.report.server;
    });
    if (known) {
        return;
    }
    for (const std::uint64_t part : crash.report.parts) {
        noteOwnSuccess({crash.report.account, part});
    }
    for (const std::uint64_t hash : hashesOf(crash.report.identity)) {
        noteOwnSuccess({crash.report.account, hash});
    }
    ++m_crashCounts[crash.report.account];
    m_crashes.push_back(std::move(crash));
    forgetOld(now);
}

void CrashTable::forgetOld(TimePoint now)
{
    while (!m_crashes.empty() && now - m_crashes.front().receivedAt > CrashLifetime) {
        eraseCrash(m_crashes.begin());
    }
    while (m_crashes.size() > MaxCrashes) {
        dropOldestCrash();
    }
    if (m_successes.size() > MaxSuspectSuccesses) {
        std::erase_if(m_successes, [&](const auto &entry) { return !isSuspect(entry.first); });
    }
    m_condemned.forgetOld(now);
}

void CrashTable::dropOldestCrash()
{
    const auto most = std::max_element(
        m_crashCounts.begin(), m_crashCounts.end(),
        [](const auto &left, const auto &right) { return left.second < right.second; });
    eraseCrash(std::find_if(m_crashes.begin(), m_crashes.end(), [&](const Crash &crash) {
        return crash.report.account == most->first;
    }));
}

std::deque<CrashTable::Crash>::iterator
CrashTable::eraseCrash(const std::deque<Crash>::iterator &crash)
{
    const auto count = m_crashCounts.find(crash->report.account);
    if (--count->second == 0) {
        m_crashCounts.erase(count);
    }
    return m_crashes.erase(crash);
}

void CrashTable::withdrawCrashes(std::uint64_t request)
{
    for (auto crash = m_crashes.begin(); crash != m_crashes.end();) {
        const RequestCrash &report = crash->report;
        const bool withdrawn = crash->own && report.parts.empty() && report.request == request;
        crash = withdrawn ? eraseCrash(crash) : std::next(crash);
    }
}

bool CrashTable::isSuspect(const SuspectKey &key) const
{
    return std::any_of(m_crashes.begin(), m_crashes.end(), [&](const Crash &crash) {
        const RequestCrash &report = crash.report;
        return report.account == key.account
            && (includes(hashesOf(report.identity), key.hash) || includes(report.parts, key.hash));
    });
}

std::size_t CrashTable::serversEndedUnder(std::uint64_t account,
                                          const RequestIdentity &identity) const
{
    std::map<std::uint64_t, std::set<std::uint64_t>> serversOf;
    const std::optional<TimePoint> success = lastSuccess({account, identity.content});
    for (const Crash &crash : m_crashes) {
        const RequestIdentity &other = crash.report.identity;
        if (crash.report.account != account) {
            continue;
        }
        if (other.content == identity.content && (!success || *success < crash.at)) {
            serversOf[identity.content].insert(crash.report.server);
        }
        for (const std::uint64_t family : identity.families) {
            if (includes(other.families, family) && !lastSuccess({account, family})) {
                serversOf[family].insert(crash.report.server);
            }
        }
    }
    std::size_t most = 0;
    for (const auto &[hash, servers] : serversOf) {
        most = std::max(most, servers.size());
    }
    return most;
}

void CrashTable::noteOwnSuccess(const SuspectKey &key)
{
    const std::uint64_t hash = hashOf(key);
    for (const auto *generation : {&m_ownSuccesses, &m_olderOwnSuccesses}) {
        const auto found = generation->find(hash);
        if (found != generation->end()) {
            Success &success = m_successes[key];
            success.at = std::max(success.at, found->second);
            success.own = true;
            return;
        }
    }
}

void CrashTable::recordSuccess(std::uint64_t account, const std::vector<std::uint64_t> &parts,
                               const RequestIdentity &identity, TimePoint now)
{
    std::vector<std::uint64_t> served = hashesOf(identity);
    served.insert(served.end(), parts.begin(), parts.end());
    for (const std::uint64_t part : served) {
        const SuspectKey key{account, part};
        if (m_ownSuccesses.size() >= MaxOwnSuccesses) {
            m_olderOwnSuccesses = std::exchange(m_ownSuccesses, {});
        }
        m_ownSuccesses[hashOf(key)] = now;
        if (m_successes.contains(key) || isSuspect(key)) {
            Success &success = m_successes[key];
            success.at = now;
            success.own = true;
        }
    }
}

void CrashTable::apply(const CrashEvidence &evidence, TimePoint now)
{
    for (const RequestCrash &crash : evidence.crashes) {
        addCrash({crash, now - crash.age, now, TimePoint(), false}, now);
    }
    for (const SuspectSuccess &reported : evidence.successes) {
        Success &success = m_successes[reported.key];
        success.at = std::max(success.at, now - reported.age);
    }
    for (const CondemnedSuspect &part : evidence.condemned) {
        condemn(part, now);
    }
}

void CrashTable::condemn(const CondemnedSuspect &part, TimePoint now)
{
    if (m_condemned.add(part, now)) {
        Verdict verdict;
        verdict.key = part.key;
        m_verdicts.push_back(verdict);
    }
}

CrashEvidence CrashTable::takeUnpublished(TimePoint now)
{
    CrashEvidence evidence;
    for (Crash &crash : m_crashes) {
        if (publishes(crash, now)) {
            crash.publishedAt = now;
            evidence.crashes.push_back(crash.report);
            evidence.crashes.back().age = now - crash.at;
        }
    }
    for (auto &[key, success] : m_successes) {
        const bool news = success.at > success.publishedAt;
        if (success.own && news && now - success.publishedAt >= SuccessPublishPeriod) {
            success.publishedAt = now;
            evidence.successes.push_back({key, now - success.at});
        }
    }
    if (!m_condemned.empty() && now - m_condemnedPublishedAt >= CondemnedPublishPeriod) {
        m_condemnedPublishedAt = now;
        evidence.condemned = m_condemned.all(now);
    }
    return evidence;
}

bool CrashTable::publishes(const Crash &crash, TimePoint now) const
{
    const Duration lifetime =
        crash.report.parts.empty() ? LostPublishLifetime : CrashPublishLifetime;
    return crash.own && now - crash.at < lifetime && now - crash.publishedAt >= CrashPublishPeriod;
}

std::optional<std::uint64_t> CrashTable::refusedPart(std::uint64_t account,
                                                     const std::vector<std::uint64_t> &parts,
                                                     TimePoint now)
{
    evaluate(now);
    const auto found = std::find_if(parts.begin(), parts.end(), [&](std::uint64_t part) {
        return m_condemned.refusesPart(account, part);
    });
    return found == parts.end() ? std::nullopt : std::optional(*found);
}

bool CrashTable::refusesRequest(std::uint64_t account, const RequestIdentity &identity,
                                TimePoint now)
{
    evaluate(now);
    return m_condemned.refusesRequest(account, identity);
}

bool CrashTable::explainedByPart(const RequestCrash &crash) const
{
    return std::any_of(crash.parts.begin(), crash.parts.end(), [&](std::uint64_t part) {
        return m_condemned.refusesPart(crash.account, part);
    });
}

void CrashTable::evaluate(TimePoint now)
{
    if (now - m_evaluatedAt < EvaluationPeriod) {
        return;
    }
    m_evaluatedAt = now;
    forgetOld(now);
    std::erase_if(m_successes,
                  [&](const auto &entry) { return now - entry.second.at > CrashLifetime; });
    for (int i = 0; i < MaxVerdictsPerEvaluation; ++i) {
        const std::optional<Suspect> suspect = worstSuspect(now);
        if (!suspect) {
            break;
        }
        const std::size_t allServers = serversEnded(suspect->first, suspect->last);
        m_condemned.add({suspect->key, Duration::zero()}, now);
        m_verdicts.push_back({suspect->key, suspect->servers.size(), suspect->requests.size(),
                              allServers, suspect->served, SuspectKind::Part});
    }
    condemnRequests(now);
}

void CrashTable::condemnRequests(TimePoint now)
{
    const RequestFamilies families = requestFamilies(now);
    for (const RequestSuspects::Suspect &suspect : requestSuspects(families, now).convicted()) {
        m_condemned.add({suspect.key, Duration::zero()}, now);
        m_verdicts.push_back({suspect.key, suspect.servers.size(), suspect.arrivals.size(), 0,
                              suspect.served, SuspectKind::Request});
    }
    // What the verdicts above explain is no evidence against families.
    for (const RequestFamilies::Suspect &family : requestFamilies(now).convicted()) {
        m_condemned.add({family.key, Duration::zero()}, now);
        m_verdicts.push_back({family.key, family.servers().size(), family.serversOf.size(), 0,
                              false, SuspectKind::Family});
    }
}

bool CrashTable::isEvidence(const Crash &crash, const std::set<std::uint64_t> &endedByParts,
                            TimePoint now) const
{
    return crash.report.identity.content != 0 && now - crash.receivedAt >= ObjectionTime
        && !endedByParts.contains(crash.report.server);
}

bool CrashTable::acquitted(const SuspectKey &key, TimePoint crashedAt, TimePoint now) const
{
    const std::optional<TimePoint> success = lastSuccess(key);
    return success && (*success >= crashedAt || now - *success < MinTimeSinceSuccess);
}

RequestSuspects CrashTable::requestSuspects(const RequestFamilies &families, TimePoint now) const
{
    const std::set<std::uint64_t> endedByParts = serversEndedByParts();
    const std::map<std::uint64_t, std::size_t> endedByFamilies = families.serversOfCondemned();
    std::map<SuspectKey, std::vector<const Crash *>> crashesOf;
    std::map<SuspectKey, std::set<std::uint64_t>> serversOf;
    for (const Crash &crash : m_crashes) {
        const SuspectKey key{crash.report.account, crash.report.identity.content};
        if (isEvidence(crash, endedByParts, now) && !acquitted(key, crash.at, now)) {
            crashesOf[key].push_back(&crash);
            serversOf[key].insert(crash.report.server);
        }
    }
    RequestSuspects suspects;
    for (const auto &[key, crashes] : crashesOf) {
        for (const Crash *crash : crashes) {
            const auto byFamily = endedByFamilies.find(crash->report.server);
            if (byFamily == endedByFamilies.end() || byFamily->second <= serversOf[key].size()) {
                suspects.add(crash->report, lastSuccess(key).has_value(),
                             m_condemned.refusesRequest(key.account, key.hash));
            }
        }
    }
    return suspects;
}

std::set<SuspectKey> CrashTable::familiesLostOften() const
{
    std::unordered_map<std::uint64_t, std::size_t> lost;
    std::set<SuspectKey> often;
    for (const Crash &crash : m_crashes) {
        for (const std::uint64_t family : crash.report.identity.families) {
            const SuspectKey key{crash.report.account, family};
            if (++lost[hashOf(key)] == RequestFamilies::MinServers) {
                often.insert(key);
            }
        }
    }
    return often;
}

RequestFamilies CrashTable::requestFamilies(TimePoint now) const
{
    RequestFamilies families;
    const std::set<SuspectKey> candidates = familiesLostOften();
    if (candidates.empty()) {
        return families;
    }
    const std::set<std::uint64_t> endedByParts = serversEndedByParts();
    for (const Crash &crash : m_crashes) {
        const RequestCrash &report = crash.report;
        const RequestIdentity &identity = report.identity;
        if (!isEvidence(crash, endedByParts, now)) {
            continue;
        }
        families.addEnded(report.server, crash.at);
        if (!acquitted({report.account, identity.content}, crash.at, now)) {
            families.addRequest(report);
        }
        if (m_condemned.refusesRequest(report.account, identity.content)) {
            continue;
        }
        for (std::size_t width = 0; width < identity.families.size(); ++width) {
            const SuspectKey key{report.account, identity.families[width]};
            if (candidates.contains(key) && !lastSuccess(key)) {
                families.add(report, width, m_condemned.refusesRequest(key.account, key.hash),
                             crash.at);
            }
        }
    }
    return families;
}

std::optional<CrashTable::Suspect> CrashTable::worstSuspect(TimePoint now) const
{
    std::optional<Suspect> worst;
    for (const auto &[key, suspect] : suspects(now)) {
        if (!convicts(suspect, now)) {
            continue;
        }
        // A part that was never served explains its crashes better than one that was.
        const auto rank = [](const Suspect &other) {
            return std::pair(!other.served, other.servers.size());
        };
        if (!worst || rank(suspect) > rank(*worst)) {
            worst = suspect;
        }
    }
    return worst;
}

std::set<std::uint64_t> CrashTable::serversEndedByParts() const
{
    std::set<std::uint64_t> servers;
    for (const Crash &crash : m_crashes) {
        if (explainedByPart(crash.report)) {
            servers.insert(crash.report.server);
        }
    }
    return servers;
}

std::map<SuspectKey, CrashTable::Suspect> CrashTable::suspects(TimePoint now) const
{
    const std::set<std::uint64_t> endedByParts = serversEndedByParts();
    std::set<std::uint64_t> endedByRequests;
    for (const Crash &crash : m_crashes) {
        if (m_condemned.refusesRequest(crash.report.account, crash.report.identity)) {
            endedByRequests.insert(crash.report.server);
        }
    }
    std::map<SuspectKey, Suspect> found;
    for (const Crash &crash : m_crashes) {
        const RequestCrash &report = crash.report;
        const bool cause = m_condemned.refusesRequest(report.account, report.identity);
        if (endedByParts.contains(report.server)
            || (!cause && endedByRequests.contains(report.server))
            || now - crash.receivedAt < ObjectionTime) {
            continue;
        }
        for (const std::uint64_t part : report.parts) {
            const SuspectKey key{report.account, part};
            Suspect &suspect = found[key];
            suspect.key = key;
            addToSuspect(suspect, crash);
        }
    }
    return found;
}

void CrashTable::addToSuspect(Suspect &suspect, const Crash &crash) const
{
    const std::optional<TimePoint> success = lastSuccess(suspect.key);
    suspect.served = success.has_value();
    if (success && *success >= crash.at) {
        return;
    }
    if (suspect.servers.empty()) {
        suspect.first = crash.at;
        suspect.last = crash.at;
    }
    suspect.first = std::min(suspect.first, crash.at);
    suspect.last = std::max(suspect.last, crash.at);
    suspect.servers.insert(crash.report.server);
    const std::uint64_t content = crash.report.identity.content;
    suspect.requests.insert(content != 0 ? content : crash.report.request);
}

bool CrashTable::convicts(const Suspect &suspect, TimePoint now) const
{
    const std::size_t needed = suspect.served ? MinCrashesOfServedPart : MinCrashes;
    if (suspect.servers.size() < needed || suspect.requests.size() < needed) {
        return false;
    }
    const std::optional<TimePoint> success = lastSuccess(suspect.key);
    if (success && now - *success < MinTimeSinceSuccess) {
        return false;
    }
    const auto all = static_cast<double>(serversEnded(suspect.first, suspect.last));
    return static_cast<double>(suspect.servers.size()) >= MinShareOfCrashes * all;
}

std::size_t CrashTable::serversEnded(TimePoint from, TimePoint to) const
{
    std::set<std::uint64_t> servers;
    for (const Crash &crash : m_crashes) {
        const bool within =
            crash.at >= from - SimultaneousCrashes && crash.at <= to + SimultaneousCrashes;
        if (within && !crash.report.parts.empty() && !explainedByPart(crash.report)) {
            servers.insert(crash.report.server);
        }
    }
    return servers.size();
}

std::optional<TimePoint> CrashTable::lastSuccess(const SuspectKey &key) const
{
    const auto found = m_successes.find(key);
    return found == m_successes.end() ? std::nullopt : std::optional(found->second.at);
}

} // namespace lycheearch
