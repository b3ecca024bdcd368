#include "State/ClaimTable.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace lycheearch {

std::string encodeClaimRecord(const ClaimRecord &record)
{
    return nlohmann::json{record.event == ClaimEvent::Claim ? "claim" : "release",
                          record.key.value(), record.claim.value(), record.owner.value()}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<ClaimRecord> decodeClaimRecord(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_array() || json.size() != 4) {
        return std::nullopt;
    }
    for (const auto &item : json) {
        if (!item.is_string()) {
            return std::nullopt;
        }
    }
    ClaimRecord record;
    record.event = json[0] == "claim" ? ClaimEvent::Claim : ClaimEvent::Release;
    record.key = RequestKey(json[1].get<std::string>());
    record.claim = ClaimId(json[2].get<std::string>());
    record.owner = InstanceId(json[3].get<std::string>());
    return record;
}

ClaimTable::ClaimTable(Duration lifetime)
    : m_lifetime(lifetime)
{
}

ClaimEntry ClaimTable::begin(const RequestKey &key, const ClaimId &claim, const InstanceId &self,
                             TimePoint now)
{
    const auto winner = logWinner(key);
    if (winner) {
        return *winner;
    }
    const auto found = m_claims.find(key);
    if (found != m_claims.end() && found->second.entry.phase != ClaimPhase::Released) {
        return found->second.entry;
    }
    const ClaimEntry entry{key, claim, self, ClaimPhase::Held};
    m_claims[key] = {entry, now};
    return entry;
}

ClaimAnswer ClaimTable::ask(const ClaimAsk &ask, const std::vector<InstanceId> &memberIds,
                            TimePoint now)
{
    ClaimAnswer answer;
    for (const InstanceId &member : memberIds) {
        if (std::find(ask.roster.begin(), ask.roster.end(), member) == ask.roster.end()) {
            answer.reason = "the membership of the requesting daemon lacks " + member.value();
            return answer;
        }
    }
    if (m_released.contains(ask.claim)) {
        answer.reason = "the claim was released before";
        return answer;
    }
    const ClaimEntry entry = begin(ask.key, ask.claim, ask.owner, now);
    answer.consent = entry.claim == ask.claim;
    answer.holder = entry.owner;
    answer.claim = entry.claim;
    answer.phase = entry.phase;
    answer.reason = answer.consent ? "" : "another claim holds the key";
    return answer;
}

void ClaimTable::applyLogRecord(Offset offset, const ClaimRecord &record, TimePoint now)
{
    if (record.event == ClaimEvent::Release) {
        release(record.key, record.claim, now);
        return;
    }
    auto &logged = m_logged[record.key];
    const ClaimEntry entry{record.key, record.claim, record.owner, ClaimPhase::Held};
    logged.push_back({offset, entry});
    std::sort(logged.begin(), logged.end(), [](const LoggedClaim &left, const LoggedClaim &right) {
        return left.offset < right.offset;
    });
    if (!m_claims.contains(record.key) && !m_released.contains(record.claim)) {
        m_claims[record.key] = {entry, now};
    }
}

std::optional<ClaimEntry> ClaimTable::logWinner(const RequestKey &key) const
{
    const auto found = m_logged.find(key);
    if (found == m_logged.end()) {
        return std::nullopt;
    }
    for (const LoggedClaim &logged : found->second) {
        if (!m_released.contains(logged.entry.claim)) {
            return logged.entry;
        }
    }
    return std::nullopt;
}

void ClaimTable::release(const RequestKey &key, const ClaimId &claim, TimePoint now)
{
    m_released[claim] = now;
    const auto found = m_claims.find(key);
    if (found != m_claims.end() && found->second.entry.claim == claim) {
        found->second = {{key, claim, found->second.entry.owner, ClaimPhase::Released}, now};
    }
}

void ClaimTable::finish(const RequestKey &key, const ClaimId &claim, TimePoint now)
{
    const auto found = m_claims.find(key);
    if (found != m_claims.end() && found->second.entry.claim == claim) {
        found->second.entry.phase = ClaimPhase::Finished;
        found->second.updatedAt = now;
    }
}

ClaimEntry ClaimTable::find(const RequestKey &key) const
{
    const auto winner = logWinner(key);
    const auto found = m_claims.find(key);
    const bool held = found != m_claims.end() && found->second.entry.phase != ClaimPhase::Released;
    if (winner && !(held && found->second.entry.claim == winner->claim)) {
        return *winner;
    }
    if (found == m_claims.end()) {
        return {key, {}, {}, ClaimPhase::Absent};
    }
    return found->second.entry;
}

ClaimPhase ClaimTable::phaseOf(const RequestKey &key, const ClaimId &claim) const
{
    if (m_released.contains(claim)) {
        return ClaimPhase::Released;
    }
    const ClaimEntry entry = find(key);
    return entry.claim == claim ? entry.phase : ClaimPhase::Absent;
}

std::vector<ClaimEntry> ClaimTable::entries() const
{
    std::vector<ClaimEntry> all;
    for (const auto &[key, held] : m_claims) {
        all.push_back(held.entry);
    }
    return all;
}

void ClaimTable::merge(const std::vector<ClaimEntry> &entries, TimePoint now)
{
    for (const ClaimEntry &entry : entries) {
        if (entry.phase == ClaimPhase::Released) {
            m_released[entry.claim] = now;
            continue;
        }
        const auto found = m_claims.find(entry.key);
        if (found == m_claims.end() || found->second.entry.phase == ClaimPhase::Released) {
            m_claims[entry.key] = {entry, now};
        }
    }
}

void ClaimTable::expire(TimePoint now)
{
    std::erase_if(m_claims, [&](const auto &item) {
        const bool old = now - item.second.updatedAt > m_lifetime;
        if (old) {
            m_logged.erase(item.first);
        }
        return old;
    });
    std::erase_if(m_released, [&](const auto &item) { return now - item.second > m_lifetime; });
}

} // namespace lycheearch
