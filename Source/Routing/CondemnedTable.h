#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "Routing/CrashEvidence.h"

namespace lycheearch {

/// The parts of prompts, the whole requests and the families that are refused because servers ended
/// under them, by client account. Bounded: when it is full, the oldest entry of the account with
/// the most entries is dropped, so that an account can't push out those of another one.
class CondemnedTable
{
public:
    /// How long an entry is kept.
    static constexpr Duration Lifetime = std::chrono::hours(1);

    /// Returns false if the suspect was condemned already, or too long ago.
    bool add(const CondemnedSuspect &suspect, TimePoint now);
    void forgetOld(TimePoint now);

    /// Whether prompts of the account with the part are refused. A part that is condemned for
    /// several accounts is refused to all.
    bool refusesPart(std::uint64_t account, std::uint64_t part) const;
    /// Whether requests of the account with the content, or of the family, are refused.
    bool refusesRequest(std::uint64_t account, std::uint64_t hash) const;
    /// Whether requests of the account with this identity are refused.
    bool refusesRequest(std::uint64_t account, const RequestIdentity &identity) const;
    bool empty() const { return m_accountsOf.empty(); }
    std::vector<CondemnedSuspect> all(TimePoint now) const;

private:
    void dropOldest();

    /// When each was condemned, by part, content or family, and account.
    std::map<std::uint64_t, std::map<std::uint64_t, TimePoint>> m_accountsOf;
};

} // namespace lycheearch
