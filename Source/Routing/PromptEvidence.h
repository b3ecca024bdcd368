#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "Base/Time.h"

namespace lycheearch {

/// A part of the prompts of one client account. Both are hashes, since their texts are only
/// compared.
struct PromptPartKey
{
    std::uint64_t account = 0;
    std::uint64_t part = 0;

    auto operator<=>(const PromptPartKey &) const = default;
};

/// A request whose answer broke off soon after it had begun, so that it may have crashed its
/// server.
struct PromptCrash
{
    std::uint64_t request = 0; ///< Hash of the request's id.
    std::uint64_t server = 0; ///< Hash of the server's id and start time.
    std::uint64_t account = 0; ///< Hash of the client account.
    std::vector<std::uint64_t> parts; ///< Hashes of the parts that other requests may share.
    Duration age{}; ///< Time since the answer broke off.

    bool operator==(const PromptCrash &) const = default;
};

/// The latest answer that was served to a request with a part that is under suspicion.
struct PromptSuccess
{
    PromptPartKey key;
    Duration age{};

    bool operator==(const PromptSuccess &) const = default;
};

/// A part that is condemned: requests with it are refused.
struct CondemnedPart
{
    PromptPartKey key;
    Duration age{}; ///< Time since the first daemon condemned it.

    bool operator==(const CondemnedPart &) const = default;
};

/// What daemons tell each other about prompts that crash servers.
struct PromptEvidence
{
    std::vector<PromptCrash> crashes;
    std::vector<PromptSuccess> successes;
    std::vector<CondemnedPart> condemned;

    /// Adds the entries of \p other, as long as no kind has more than MaxEntries of them.
    void add(const PromptEvidence &other);
    /// Entries of a kind in one message; those that are left out are repeated by their origin.
    static constexpr std::size_t MaxEntries = 512;

    bool empty() const { return crashes.empty() && successes.empty() && condemned.empty(); }
    bool operator==(const PromptEvidence &) const = default;
};

} // namespace lycheearch
