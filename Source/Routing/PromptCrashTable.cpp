#include "Routing/PromptCrashTable.h"

#include <algorithm>

#include "Base/Hash.h"

namespace lycheearch {

namespace {

/// Crashes are evidence for this long.
constexpr Duration CrashLifetime = 60s;
constexpr std::size_t MaxCrashes = 512;
/// Own successes remembered in each of two generations.
constexpr std::size_t MaxOwnSuccesses = 8192;
/// Condemned parts of all accounts; while as many are condemned, no others are.
constexpr std::size_t MaxCondemnedParts = 256;

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
/// Accounts with the same condemned part after which it is refused to all accounts.
constexpr std::size_t AccountsForAll = 2;

constexpr Duration EvaluationPeriod = 100ms;
constexpr Duration CrashPublishPeriod = 1s;
constexpr Duration CrashPublishLifetime = 10s;
constexpr Duration SuccessPublishPeriod = 1s;
constexpr Duration CondemnedPublishPeriod = 2s;

std::uint64_t hashOf(const PromptPartKey &key)
{
    return mixBits(key.account ^ mixBits(key.part));
}

} // namespace

void PromptCrashTable::recordCrash(PromptCrash crash, TimePoint now)
{
    crash.age = Duration::zero();
    addCrash({std::move(crash), now, now, TimePoint(), true}, now);
}

void PromptCrashTable::addCrash(Crash crash, TimePoint now)
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
    m_crashes.push_back(std::move(crash));
    forgetOld(now);
}

void PromptCrashTable::forgetOld(TimePoint now)
{
    while (
        !m_crashes.empty()
        && (m_crashes.size() > MaxCrashes || now - m_crashes.front().receivedAt > CrashLifetime)) {
        m_crashes.pop_front();
    }
    std::erase_if(m_successes,
                  [&](const auto &entry) { return now - entry.second.at > CrashLifetime; });
    for (auto &[part, accounts] : m_condemned) {
        std::erase_if(accounts,
                      [&](const auto &entry) { return now - entry.second > CondemnedLifetime; });
    }
    std::erase_if(m_condemned, [](const auto &entry) { return entry.second.empty(); });
}

void PromptCrashTable::noteOwnSuccess(const PromptPartKey &key)
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

void PromptCrashTable::recordSuccess(std::uint64_t account, const std::vector<std::uint64_t> &parts,
                                     TimePoint now)
{
    for (const std::uint64_t part : parts) {
        const PromptPartKey key{account, part};
        if (m_ownSuccesses.size() >= MaxOwnSuccesses) {
            m_olderOwnSuccesses = std::exchange(m_ownSuccesses, {});
        }
        m_ownSuccesses[hashOf(key)] = now;
        const auto suspect = m_successes.find(key);
        if (suspect != m_successes.end()) {
            suspect->second.at = now;
            suspect->second.own = true;
        }
    }
}

void PromptCrashTable::apply(const PromptEvidence &evidence, TimePoint now)
{
    for (const PromptCrash &crash : evidence.crashes) {
        addCrash({crash, now - crash.age, now, TimePoint(), false}, now);
    }
    for (const PromptSuccess &reported : evidence.successes) {
        Success &success = m_successes[reported.key];
        success.at = std::max(success.at, now - reported.age);
    }
    for (const CondemnedPart &part : evidence.condemned) {
        condemn(part, now);
    }
}

void PromptCrashTable::condemn(const CondemnedPart &part, TimePoint now)
{
    if (addCondemned(part, now)) {
        Verdict verdict;
        verdict.key = part.key;
        verdict.learned = true;
        m_verdicts.push_back(verdict);
    }
}

bool PromptCrashTable::addCondemned(const CondemnedPart &part, TimePoint now)
{
    if (part.age > CondemnedLifetime
        || (m_condemned.size() >= MaxCondemnedParts && !m_condemned.contains(part.key.part))) {
        return false;
    }
    const TimePoint at = now - part.age;
    auto &accounts = m_condemned[part.key.part];
    const auto [entry, inserted] = accounts.try_emplace(part.key.account, at);
    if (!inserted) {
        entry->second = std::min(entry->second, at);
    }
    return inserted;
}

PromptEvidence PromptCrashTable::takeUnpublished(TimePoint now)
{
    PromptEvidence evidence;
    for (Crash &crash : m_crashes) {
        if (crash.own && now - crash.at < CrashPublishLifetime
            && now - crash.publishedAt >= CrashPublishPeriod) {
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
        evidence.condemned = condemned(now);
    }
    return evidence;
}

std::vector<CondemnedPart> PromptCrashTable::condemned(TimePoint now) const
{
    std::vector<CondemnedPart> parts;
    for (const auto &[part, accounts] : m_condemned) {
        for (const auto &[account, at] : accounts) {
            parts.push_back({{account, part}, now - at});
        }
    }
    return parts;
}

std::optional<std::uint64_t> PromptCrashTable::refusedPart(std::uint64_t account,
                                                           const std::vector<std::uint64_t> &parts,
                                                           TimePoint now)
{
    evaluate(now);
    const auto found = std::find_if(parts.begin(), parts.end(),
                                    [&](std::uint64_t part) { return isCondemned(account, part); });
    return found == parts.end() ? std::nullopt : std::optional(*found);
}

bool PromptCrashTable::isCondemned(std::uint64_t account, std::uint64_t part) const
{
    const auto found = m_condemned.find(part);
    return found != m_condemned.end()
        && (found->second.size() >= AccountsForAll || found->second.contains(account));
}

bool PromptCrashTable::explained(const PromptCrash &crash) const
{
    return std::any_of(crash.parts.begin(), crash.parts.end(),
                       [&](std::uint64_t part) { return isCondemned(crash.account, part); });
}

void PromptCrashTable::evaluate(TimePoint now)
{
    if (now - m_evaluatedAt < EvaluationPeriod) {
        return;
    }
    m_evaluatedAt = now;
    forgetOld(now);
    while (const std::optional<Suspect> suspect = worstSuspect(now)) {
        const std::size_t allServers = serversEnded(suspect->first, suspect->last);
        if (!addCondemned({suspect->key, Duration::zero()}, now)) {
            return; // The table is full.
        }
        m_verdicts.push_back({suspect->key, suspect->servers.size(), suspect->requests.size(),
                              allServers, suspect->served, false});
    }
}

std::optional<PromptCrashTable::Suspect> PromptCrashTable::worstSuspect(TimePoint now) const
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

std::map<PromptPartKey, PromptCrashTable::Suspect> PromptCrashTable::suspects(TimePoint now) const
{
    // Servers whose end a condemned part explains are no evidence against the requests beside it.
    std::set<std::uint64_t> explainedServers;
    for (const Crash &crash : m_crashes) {
        if (explained(crash.report)) {
            explainedServers.insert(crash.report.server);
        }
    }
    std::map<PromptPartKey, Suspect> found;
    for (const Crash &crash : m_crashes) {
        if (explainedServers.contains(crash.report.server)
            || now - crash.receivedAt < ObjectionTime) {
            continue;
        }
        for (const std::uint64_t part : crash.report.parts) {
            const PromptPartKey key{crash.report.account, part};
            Suspect &suspect = found[key];
            suspect.key = key;
            addToSuspect(suspect, crash);
        }
    }
    return found;
}

void PromptCrashTable::addToSuspect(Suspect &suspect, const Crash &crash) const
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
    suspect.requests.insert(crash.report.request);
}

bool PromptCrashTable::convicts(const Suspect &suspect, TimePoint now) const
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

std::size_t PromptCrashTable::serversEnded(TimePoint from, TimePoint to) const
{
    std::set<std::uint64_t> servers;
    for (const Crash &crash : m_crashes) {
        const bool within =
            crash.at >= from - SimultaneousCrashes && crash.at <= to + SimultaneousCrashes;
        if (within && !explained(crash.report)) {
            servers.insert(crash.report.server);
        }
    }
    return servers.size();
}

std::optional<TimePoint> PromptCrashTable::lastSuccess(const PromptPartKey &key) const
{
    const auto found = m_successes.find(key);
    return found == m_successes.end() ? std::nullopt : std::optional(found->second.at);
}

} // namespace lycheearch
