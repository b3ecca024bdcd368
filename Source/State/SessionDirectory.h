#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "Peer/PeerNetwork.h"
#include "State/Membership.h"
#include "State/ReplicaStore.h"

namespace lycheearch {

/// Identifies a session of a client account.
struct SessionKey
{
    AccountId account;
    SessionId session;
    VersionId movedFrom; ///< Withdrawn version of the previous pin; empty at first.

    /// The key as text: "account/session", followed by "#version" if the session moved.
    std::string text() const;
};

/// Pins each session to a version. The pin is in a signed token that the caller sends back, and is
/// replicated to the daemons that rendezvous hashing selects, for callers that send their session
/// id without the token.
class SessionDirectory
{
public:
    static constexpr std::size_t ReplicaCount = 2;

    SessionDirectory(PeerNetwork &network, Membership &membership, ReplicaStore &replicas,
                     std::string signingKey);

    /// Returns the version that the session is pinned to: from the token if its signature is valid,
    /// else from the replicas.
    std::optional<VersionId> find(const SessionKey &key, const std::string &token, TimePoint now);
    /// Pins the session to \p version unless it is pinned already. Returns the version it is pinned
    /// to.
    VersionId pin(const SessionKey &key, const VersionId &version, TimePoint now);
    /// Returns the signed token of the session's pin.
    std::string token(const SessionKey &key, const VersionId &version) const;
    /// Replicates the pins held here again if the set of live daemons has changed.
    void restoreReplication(TimePoint now);

private:
    std::optional<VersionId> versionOfToken(const SessionKey &key, const std::string &token) const;
    std::vector<InstanceId> replicaHolders(const std::string &key, TimePoint now) const;

    PeerNetwork &m_network;
    Membership &m_membership;
    ReplicaStore &m_replicas;
    std::string m_signingKey;
    std::mutex m_mutex;
    std::vector<InstanceId> m_aliveAtReplication; ///< Live daemons at the last replication.
};

} // namespace lycheearch
