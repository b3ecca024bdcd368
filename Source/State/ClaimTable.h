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

/// Decides who may run a non-idempotent request. It joins three sources: the claims of this
/// daemon, the claims that it consented to for peers, and the claims stream of the log. A key has
/// at most one holder in a table; a claim that was released makes room for another.
/// docs/design/at-most-once.md has the protocol and why it is safe. Not thread-safe.
class ClaimTable
{
public:
    explicit ClaimTable(Duration lifetime);

    /// Records a claim of this daemon before anything else is done for it. Returns the entry that
    /// holds the key: the new one, or the one that stands in its way.
    ClaimEntry begin(const RequestKey &key, const ClaimId &claim, const InstanceId &self,
                     TimePoint now);

    /// A peer asks for consent. Consent records the claim as the peer's.
    ClaimAnswer ask(const ClaimAsk &ask, const std::vector<InstanceId> &ownRoster, TimePoint now);

    /// Folds a record of the claims stream; \p offset orders claims.
    void foldLog(Offset offset, const ClaimRecord &record, TimePoint now);
    /// The first claim of the key in the log that was not released.
    std::optional<ClaimEntry> logWinner(const RequestKey &key) const;

    /// The claim ended with nothing sent.
    void release(const RequestKey &key, const ClaimId &claim, TimePoint now);
    /// The claim's request was sent; its outcome is settled as far as it can be.
    void finish(const RequestKey &key, const ClaimId &claim, TimePoint now);

    ClaimEntry find(const RequestKey &key) const;
    /// What became of one claim; Absent if this table does not know it.
    ClaimPhase phaseOf(const RequestKey &key, const ClaimId &claim) const;
    std::vector<ClaimEntry> entries() const;
    /// Takes over entries of a peer's table.
    void merge(const std::vector<ClaimEntry> &entries, TimePoint now);
    /// Forgets what is older than the lifetime of keys.
    void expire(TimePoint now);
    std::size_t size() const { return m_held.size(); }

private:
    struct Held
    {
        ClaimEntry entry;
        TimePoint at;
    };
    struct Logged
    {
        Offset offset;
        ClaimEntry entry;
    };

    Duration m_lifetime;
    std::map<RequestKey, Held> m_held;
    std::map<RequestKey, std::vector<Logged>> m_logged;
    std::map<ClaimId, TimePoint> m_released;
};

} // namespace lycheearch
