#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "Base/Ids.h"

namespace lycheearch {

/// Use of a service by a client account, in weighted work that decays as CapacityShares says.
struct AccountUse
{
    double admitted = 0;
    double refused = 0; ///< Found no room.

    double demand() const { return admitted + refused; }
    bool operator==(const AccountUse &) const = default;
};

/// A service and the hash of a client account.
using UseKey = std::pair<ServiceId, std::uint64_t>;
/// Use of one or more daemons; accounts without use have no entry.
using ServiceUses = std::map<UseKey, AccountUse>;

/// Adds \p addend to \p sum.
void addUses(ServiceUses &sum, const ServiceUses &addend);
/// Subtracts \p subtrahend from \p sum; no value falls below zero.
void subtractUses(ServiceUses &sum, const ServiceUses &subtrahend);

} // namespace lycheearch
