#pragma once

#include "Routing/RolloutController.h"

namespace lycheearch {

/// Times that say whether a daemon may act on a change that it found due.
struct DecisionBasis
{
    TimePoint dueSince; ///< When this daemon first found the change due.
    TimePoint readAt; ///< As of when it has read what the change was decided from.
};

/// Changes are decided from what was read at most this time before. After a longer time, a standby
/// may have decided otherwise.
constexpr Duration MaxBasisAge = RolloutController::StandbyDelay;

/// Whether a daemon may act on a change now: it has read on since the change was due for \p delay,
/// so that it has seen what others did about it, and it was not paused since then.
inline bool mayAct(const DecisionBasis &basis, Duration delay, TimePoint now)
{
    return basis.readAt >= basis.dueSince + delay && now - basis.readAt <= MaxBasisAge;
}

} // namespace lycheearch
