#include "State/SessionDirectory.h"

#include <algorithm>

#include "Base/Hash.h"

namespace lycheearch {

namespace {
constexpr std::size_t SignatureHexDigits = 64;
}

std::string SessionKey::text() const
{
    const std::string base = account.value() + "/" + session.value();
    return movedFrom.empty() ? base : base + "#" + movedFrom.value();
}

SessionDirectory::SessionDirectory(PeerNetwork &network, Membership &membership,
                                   ReplicaStore &replicas, std::string signingKey)
    : m_network(network)
    , m_membership(membership)
    , m_replicas(replicas)
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
    if (token.size() <= SignatureHexDigits) {
        return std::nullopt;
    }
    const VersionId version(token.substr(SignatureHexDigits));
    if (!equalInConstantTime(this->token(key, version), token)) {
        return std::nullopt;
    }
    return version;
}

std::vector<InstanceId> SessionDirectory::replicaHolders(const std::string &key,
                                                         TimePoint now) const
{
    return rendezvous(key, m_membership.aliveIds(now), ReplicaCount);
}

std::optional<VersionId> SessionDirectory::find(const SessionKey &key, const std::string &token,
                                                TimePoint now)
{
    if (const auto version = versionOfToken(key, token)) {
        return version;
    }
    const std::string text = key.text();
    if (const auto record = m_replicas.get(KeptKind::Session, text, now)) {
        return VersionId(record->data);
    }
    for (const InstanceId &holder : replicaHolders(text, now)) {
        if (holder == m_membership.self()) {
            continue;
        }
        const auto found = m_network.fetchReplica(holder, KeptKind::Session, text);
        if (found.ok() && found.value()) {
            m_replicas.put({*found.value()}, now);
            return VersionId(found.value()->data);
        }
    }
    return std::nullopt;
}

VersionId SessionDirectory::pin(const SessionKey &key, const VersionId &version, TimePoint now)
{
    const std::string text = key.text();
    KeptRecord record{KeptKind::Session, text, m_membership.self(), version.value()};
    for (const InstanceId &holder : replicaHolders(text, now)) {
        if (holder == m_membership.self()) {
            const auto present = m_replicas.put({record}, now);
            record.data = present.empty() ? record.data : present.front().data;
            continue;
        }
        const auto present = m_network.storeReplicas(holder, {record});
        if (present.ok() && !present.value().empty()) {
            record.data = present.value().front().data;
        }
    }
    const auto local = m_replicas.put({record}, now);
    return VersionId(local.empty() ? record.data : local.front().data);
}

void SessionDirectory::restoreReplication(TimePoint now)
{
    const std::vector<InstanceId> alive = m_membership.aliveIds(now);
    {
        std::lock_guard lock(m_mutex);
        if (alive == m_aliveAtReplication) {
            return;
        }
        m_aliveAtReplication = alive;
    }
    std::map<InstanceId, std::vector<KeptRecord>> recordsByHolder;
    for (const KeptRecord &record : m_replicas.storedBefore(KeptKind::Session, now)) {
        for (const InstanceId &holder : replicaHolders(record.key, now)) {
            recordsByHolder[holder].push_back(record);
        }
    }
    recordsByHolder.erase(m_membership.self());
    for (const auto &[holder, records] : recordsByHolder) {
        m_network.storeReplicas(holder, records);
    }
}

} // namespace lycheearch
