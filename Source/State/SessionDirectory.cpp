#include "State/SessionDirectory.h"

#include <algorithm>

#include "Base/Hash.h"

namespace lycheearch {

namespace {
constexpr std::size_t SignatureLength = 64;
}

std::string SessionKey::text() const
{
    const std::string base = account.value() + "/" + session.value();
    return movedFrom.empty() ? base : base + "#" + movedFrom.value();
}

SessionDirectory::SessionDirectory(PeerNetwork &network, Roster &roster, KeptStore &kept,
                                   std::string signingKey)
    : m_network(network)
    , m_roster(roster)
    , m_kept(kept)
    , m_signingKey(std::move(signingKey))
{
}

std::string SessionDirectory::token(const SessionKey &key, const VersionId &version) const
{
    return hmacHex(m_signingKey, key.text() + "\n" + version.value()) + version.value();
}

std::optional<VersionId> SessionDirectory::versionOfToken(const SessionKey &key,
                                                          const std::string &token) const
{
    if (token.size() <= SignatureLength) {
        return std::nullopt;
    }
    const VersionId version(token.substr(SignatureLength));
    if (!equalInConstantTime(this->token(key, version), token)) {
        return std::nullopt;
    }
    return version;
}

std::vector<InstanceId> SessionDirectory::keepers(const std::string &key, TimePoint now) const
{
    return rendezvous(key, m_roster.aliveIds(now), Keepers);
}

std::optional<VersionId> SessionDirectory::find(const SessionKey &key, const std::string &token,
                                                TimePoint now)
{
    if (const auto version = versionOfToken(key, token)) {
        return version;
    }
    const std::string text = key.text();
    if (const auto record = m_kept.get(KeptKind::Session, text, now)) {
        return VersionId(record->data);
    }
    for (const InstanceId &keeper : keepers(text, now)) {
        if (keeper == m_roster.self()) {
            continue;
        }
        const auto found = m_network.fetchKept(keeper, KeptKind::Session, text);
        if (found.ok() && found.value()) {
            m_kept.put({*found.value()}, now);
            return VersionId(found.value()->data);
        }
    }
    return std::nullopt;
}

VersionId SessionDirectory::pin(const SessionKey &key, const VersionId &version, TimePoint now)
{
    const std::string text = key.text();
    KeptRecord record{KeptKind::Session, text, m_roster.self(), version.value()};
    for (const InstanceId &keeper : keepers(text, now)) {
        if (keeper == m_roster.self()) {
            const auto present = m_kept.put({record}, now);
            record.data = present.empty() ? record.data : present.front().data;
            continue;
        }
        const auto present = m_network.keep(keeper, {record});
        if (present.ok() && !present.value().empty()) {
            record.data = present.value().front().data;
        }
    }
    const auto local = m_kept.put({record}, now);
    return VersionId(local.empty() ? record.data : local.front().data);
}

void SessionDirectory::repair(TimePoint now)
{
    const std::vector<InstanceId> alive = m_roster.aliveIds(now);
    {
        std::lock_guard lock(m_mutex);
        if (alive == m_repairedFor) {
            return;
        }
        m_repairedFor = alive;
    }
    std::map<InstanceId, std::vector<KeptRecord>> copies;
    for (const KeptRecord &record : m_kept.storedBefore(KeptKind::Session, now)) {
        for (const InstanceId &keeper : keepers(record.key, now)) {
            copies[keeper].push_back(record);
        }
    }
    copies.erase(m_roster.self());
    for (const auto &[keeper, records] : copies) {
        m_network.keep(keeper, records);
    }
}

} // namespace lycheearch
