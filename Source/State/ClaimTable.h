#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Peer/PeerMessages.h"

namespace lycheearch {

/// Kinds of records on the claims stream.
enum class ClaimEvent { Claim, Release };

/// One record of the claims stream.
struct ClaimRecord
{
    ClaimEvent event = ClaimEvent::Claim;
    RequestKey key;
    ClaimId claim;
    InstanceId owner;
};

std::string encodeClaimRecord(const ClaimRecord &record);
std::optional<ClaimRecord> decodeClaimRecord(const std::string &text);

/// Decides which daemon may run a non-idempotent request. Combines three sources: the claims of
/// this daemon, the peers' claims that it consented to, and the claims stream of the log. A key has
/// at most one holder in a table; after the release of a claim, the key can be claimed again.
/// docs/design/at-most-once.md describes the protocol and why it is safe. Not thread-safe.
class ClaimTable
{
public:
    /// \p lifetime is the time from the last change of an entry until it expires.
    explicit ClaimTable(Duration lifetime);

    /// Records a claim of this daemon; must precede the append to the log and the requests to
    /// peers. Returns the entry that holds the key: the new claim, or the existing one that
    /// conflicts.
    ClaimEntry begin(const RequestKey &key, const ClaimId &claim, const InstanceId &self,
                     TimePoint now);

    /// Handles a peer's request for consent to its claim. If this daemon consents, the claim is
    /// recorded with the peer as owner. Refuses if the roster of the request lacks any of
    /// \p memberIds, the members according to this daemon.
    ClaimAnswer ask(const ClaimAsk &ask, const std::vector<InstanceId> &memberIds, TimePoint now);

    /// Applies a record of the claims stream. Claims of a key are ordered by \p offset.
    void applyLogRecord(Offset offset, const ClaimRecord &record, TimePoint now);
    /// Returns the first claim of the key in the log that was not released.
    std::optional<ClaimEntry> logWinner(const RequestKey &key) const;

    /// Releases a claim whose request was not sent.
    void release(const RequestKey &key, const ClaimId &claim, TimePoint now);
    /// Marks a claim as finished: its request was sent, and its outcome is known or can't be
    /// determined.
    void finish(const RequestKey &key, const ClaimId &claim, TimePoint now);

    /// Returns the entry that holds the key, or else the last released one. Its phase is Absent if
    /// there is neither.
    ClaimEntry find(const RequestKey &key) const;
    /// Returns the phase of one claim; Absent if it is not in this table.
    ClaimPhase phaseOf(const RequestKey &key, const ClaimId &claim) const;
    std::vector<ClaimEntry> entries() const;
    /// Merges the entries of a peer's table. Existing claims take precedence.
    void merge(const std::vector<ClaimEntry> &entries, TimePoint now);
    /// Removes entries and releases that are older than the lifetime.
    void expire(TimePoint now);
    std::size_t size() const { return m_claims.size(); }

private:
    struct StoredClaim
    {
        ClaimEntry entry;
        TimePoint updatedAt;
    };
    struct LoggedClaim
    {
        Offset offset;
        ClaimEntry entry;
    };

    Duration m_lifetime;
    std::map<RequestKey, StoredClaim> m_claims;
    std::map<RequestKey, std::vector<LoggedClaim>> m_logged;
    std::map<ClaimId, TimePoint> m_released;
};

} // namespace lycheearch
