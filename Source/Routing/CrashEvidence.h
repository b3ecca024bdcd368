#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "Base/Time.h"
#include "Routing/RequestIdentity.h"

namespace lycheearch {

/// What may crash servers: a part of the prompts of one client account, a whole request of it, or a
/// family of its requests. All are hashes, since their texts are only compared.
struct SuspectKey
{
    std::uint64_t account = 0;
    std::uint64_t hash = 0; ///< Of the part, the content or the family.

    auto operator<=>(const SuspectKey &) const = default;
};

/// A request whose answer broke off soon after it had begun, or whose connection was lost before
/// any answer, so that it may have crashed its server.
struct RequestCrash
{
    std::uint64_t request = 0; ///< Hash of the request's id.
    std::uint64_t server = 0; ///< Hash of the server's id and start time.
    std::uint64_t account = 0; ///< Hash of the client account.
    /// Hashes of the parts that other requests may share; empty if no answer had begun, since the
    /// request may have waited for a slot.
    std::vector<std::uint64_t> parts;
    Duration age{}; ///< Time since the connection was lost.
    RequestIdentity identity;

    bool operator==(const RequestCrash &) const = default;
};

/// The latest answer that was served to a request with a part that is under suspicion.
struct SuspectSuccess
{
    SuspectKey key;
    Duration age{};

    bool operator==(const SuspectSuccess &) const = default;
};

/// A part, a content or a family that is condemned: requests with it are refused.
struct CondemnedSuspect
{
    SuspectKey key;
    Duration age{}; ///< Time since the first daemon condemned it.

    bool operator==(const CondemnedSuspect &) const = default;
};

/// What daemons tell each other about requests and prompts that crash servers.
struct CrashEvidence
{
    std::vector<RequestCrash> crashes;
    std::vector<SuspectSuccess> successes;
    std::vector<CondemnedSuspect> condemned;

    /// Adds the entries of \p other, as long as no kind has more than MaxEntries of them.
    void add(const CrashEvidence &other);
    /// Entries of a kind in one message; those that are left out are repeated by their origin.
    static constexpr std::size_t MaxEntries = 512;

    bool empty() const { return crashes.empty() && successes.empty() && condemned.empty(); }
    bool operator==(const CrashEvidence &) const = default;
};

} // namespace lycheearch
