#pragma once

#include <map>
#include <vector>

#include "Fleet/FleetRecord.h"

namespace lycheearch {

/// Rank of a member in the feed order, a hash of its id; the lowest rank is first.
std::uint64_t feedRank(const InstanceId &instance);

/// Returns the current members of a data centre in the feed order, the order in which they are
/// preferred as sources. \p wallMilliseconds is the present time in Unix milliseconds.
std::vector<MemberRegistered> feedOrder(const std::map<InstanceId, MemberRegistered> &members,
                                        const DataCentreId &dataCentre,
                                        std::int64_t wallMilliseconds);

/// Returns the members whose feed \p self may follow: those before it in the feed order of its data
/// centre. All members compute the same order, and each follows the first candidate that it can
/// connect to. The first member has no candidates and reads the store.
std::vector<MemberRegistered> feedCandidates(const std::map<InstanceId, MemberRegistered> &members,
                                             const InstanceId &self, const DataCentreId &dataCentre,
                                             std::int64_t wallMilliseconds);

/// Whether a member's last registration is recent enough to consider the member running.
bool memberIsCurrent(const MemberRegistered &member, std::int64_t wallMilliseconds);

} // namespace lycheearch
