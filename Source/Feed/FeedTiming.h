#pragma once

#include "Net/Socket.h"

namespace lycheearch {

/// Between two heartbeats of a feed.
constexpr Duration FeedHeartbeatPeriod = 300ms;
/// A feed without a heartbeat for this long is given up.
constexpr Duration FeedSilenceLimit = 800ms;
/// A feed whose reads of the store are overdue for longer is not relied on.
constexpr Duration FeedStoreAgeLimit = 500ms;
constexpr Liveness FeedLiveness{1s, 1s, 2, 2s};

} // namespace lycheearch
