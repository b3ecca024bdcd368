#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "Peer/PeerNetwork.h"
#include "State/KeptStore.h"
#include "State/Roster.h"

namespace lycheearch {

/// Which session of which client account.
struct SessionKey
{
    AccountId account;
    SessionId session;
    VersionId movedFrom; ///< Withdrawn version that the session had before; empty at first.

    std::string text() const;
};

/// Remembers the version of each session: in a signed token that the caller returns, and at the
/// peers that rendezvous hashing names, for callers that send only their session id.
class SessionDirectory
{
public:
    static constexpr std::size_t Keepers = 2;

    SessionDirectory(PeerNetwork &network, Roster &roster, KeptStore &kept, std::string signingKey);

    /// The version that the session has, if any.
    std::optional<VersionId> find(const SessionKey &key, const std::string &token, TimePoint now);
    /// Gives the session a version, unless it has one. Returns the one that it has now.
    VersionId pin(const SessionKey &key, const VersionId &version, TimePoint now);
    /// The token that proves the session's version.
    std::string token(const SessionKey &key, const VersionId &version) const;
    /// Copies the pins held here to daemons that became keepers.
    void repair(TimePoint now);

private:
    std::optional<VersionId> versionOfToken(const SessionKey &key, const std::string &token) const;
    std::vector<InstanceId> keepers(const std::string &key, TimePoint now) const;

    PeerNetwork &m_network;
    Roster &m_roster;
    KeptStore &m_kept;
    std::string m_signingKey;
    std::mutex m_mutex;
    std::vector<InstanceId> m_repairedFor; ///< Live daemons at the last repair.
};

} // namespace lycheearch
