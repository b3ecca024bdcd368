#pragma once

#include "Net/Socket.h"

namespace lycheearch {

/// Between two heartbeats of a feed.
constexpr Duration FeedHeartbeatPeriod = 300ms;
/// A feed without a heartbeat for this long is given up.
constexpr Duration FeedSilenceLimit = 800ms;
/// A feed whose knowledge of the store is older is not relied on.
constexpr Duration FeedStoreAgeLimit = 1000ms;
constexpr Liveness FeedLiveness{1s, 1s, 2, 2s};

} // namespace lycheearch
