#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lycheearch {

/// What tells whether two arrivals are the same request, as hashes, since the texts are only
/// compared. A request that comes again may differ in some of what its head says, so there are
/// several widths.
struct RequestIdentity
{
    /// Of the method, the target, all parts of the prompt and the body; 0 if not known.
    std::uint64_t content = 0;
    /// Of what more arrivals share, narrowest first: without the last part of the prompt, which may
    /// be new with each arrival; and the method, the path and the body alone. A width that says no
    /// less than a narrower one is left out, and so is one that says nothing but the path.
    std::vector<std::uint64_t> families;

    bool operator==(const RequestIdentity &) const = default;
};

/// The identity of a request. \p parts are the ids of the parts of its prompt, in order.
RequestIdentity requestIdentity(std::string_view method, std::string_view target,
                                const std::vector<std::string> &parts, const std::string &body);

} // namespace lycheearch
