#include "State/ClaimProtocol.h"

#include <algorithm>

#include "Base/Hash.h"
#include "Base/Logger.h"

namespace lycheearch {

namespace {
constexpr Duration RetryAfter = 1s;
const Logger Log("claim");
} // namespace

ClaimProtocol::ClaimProtocol(SharedClaimTable &claimTable, StreamAppender &appender,
                             PeerNetwork &network, Membership &membership, Duration logTimeout,
                             const Clock &clock)
    : m_claimTable(claimTable)
    , m_appender(appender)
    , m_network(network)
    , m_membership(membership)
    , m_logTimeout(logTimeout)
    , m_clock(clock)
{
}

ClaimOutcome ClaimProtocol::acquire(const RequestKey &key, TimePoint deadline, TimePoint now)
{
    ClaimOutcome outcome;
    if (!m_claimTable.complete()) {
        outcome.failure = makeFailure(Errc::NotReady, "the claims of peers are not copied yet",
                                      RunState::NotRun, RetryAfter);
        return outcome;
    }
    const ClaimId claim(randomHex());
    const ClaimEntry entry = m_claimTable.begin(key, claim, m_membership.self(), now);
    if (entry.claim != claim) {
        outcome.kind = ClaimOutcome::Kind::Held;
        outcome.holder = entry;
        return outcome;
    }
    const Duration limit = std::min<Duration>(m_logTimeout, (deadline - now) / 2);
    if (const auto logOutcome = acquireByLog(entry, limit)) {
        return *logOutcome;
    }
    return acquireByPeers(entry);
}

std::optional<ClaimOutcome> ClaimProtocol::acquireByLog(const ClaimEntry &entry, Duration limit)
{
    const TimePoint start = m_clock.now();
    auto appended = m_appender.append(
        encodeClaimRecord({ClaimEvent::Claim, entry.key, entry.claim, entry.owner}));
    if (appended.wait_for(limit) != std::future_status::ready) {
        return std::nullopt;
    }
    const Result<Offset> offset = appended.get();
    if (!offset.ok()) {
        return std::nullopt;
    }
    const Duration remaining = std::max<Duration>(limit - (m_clock.now() - start), 1ms);
    if (!m_claimTable.waitUntilApplied(offset.value(), remaining)) {
        return std::nullopt;
    }
    ClaimOutcome outcome;
    const auto winner = m_claimTable.logWinner(entry.key);
    if (winner && winner->claim == entry.claim) {
        outcome.kind = ClaimOutcome::Kind::Granted;
        outcome.claim = entry.claim;
        return outcome;
    }
    release(entry.key, entry.claim, m_clock.now());
    outcome.kind = ClaimOutcome::Kind::Held;
    outcome.holder = winner.value_or(entry);
    return outcome;
}

ClaimOutcome ClaimProtocol::acquireByPeers(const ClaimEntry &entry)
{
    if (!m_membership.hasInstanceList()) {
        return refuse(entry, "the log does not respond and the instance list has not been read");
    }
    ClaimAsk ask{entry.key, entry.claim, entry.owner, m_membership.memberIds()};
    std::vector<InstanceId> others = ask.roster;
    std::erase(others, m_membership.self());
    const auto answers = m_network.requestClaimConsent(others, ask);
    for (const auto &answer : answers) {
        if (!answer.ok()) {
            return refuse(
                entry, "the log does not respond, and a peer failed: " + answer.failure().message);
        }
        if (!answer.value().consent) {
            return refuse(entry,
                          "the log does not respond, and a peer refused consent: "
                              + answer.value().reason);
        }
    }
    if (m_membership.memberIds() != ask.roster) {
        return refuse(entry, "the membership changed while peers were queried");
    }
    ClaimOutcome outcome;
    outcome.kind = ClaimOutcome::Kind::Granted;
    outcome.claim = entry.claim;
    outcome.grantedByPeers = true;
    return outcome;
}

ClaimOutcome ClaimProtocol::refuse(const ClaimEntry &entry, const std::string &reason)
{
    release(entry.key, entry.claim, m_clock.now());
    std::vector<InstanceId> others = m_membership.memberIds();
    std::erase(others, m_membership.self());
    m_network.releaseClaim(others, entry.key, entry.claim);
    Log.warning("Refused the claim of " + entry.key.value() + ": " + reason + ".");
    ClaimOutcome outcome;
    outcome.failure = makeFailure(Errc::ClaimUncertain, reason, RunState::NotRun, RetryAfter);
    return outcome;
}

void ClaimProtocol::release(const RequestKey &key, const ClaimId &claim, TimePoint now)
{
    m_claimTable.release(key, claim, now);
    const ClaimRecord record{ClaimEvent::Release, key, claim, m_membership.self()};
    if (!m_appender.appendWithRetries(encodeClaimRecord(record))) {
        Log.warning("Cannot append the release of a claim, because the append queue is full. Other "
                    "daemons may keep the claim until it expires.");
    }
}

void ClaimProtocol::finish(const RequestKey &key, const ClaimId &claim, TimePoint now)
{
    m_claimTable.finish(key, claim, now);
}

Result<ClaimAnswer> ClaimProtocol::status(const ClaimEntry &holder)
{
    if (holder.owner == m_membership.self()) {
        // The caller handles the only request with this key in this process, so a claim that is
        // held here was made before the process restarted.
        const ClaimPhase phase = m_claimTable.phaseOf(holder.key, holder.claim);
        return ClaimAnswer{false, holder.owner, holder.claim,
                           phase == ClaimPhase::Held ? ClaimPhase::Absent : phase, ""};
    }
    return m_network.claimStatus(holder.owner, holder.key, holder.claim);
}

} // namespace lycheearch
