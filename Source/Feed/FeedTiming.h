#pragma once

#include "Net/Socket.h"

namespace lycheearch {

/// Interval between two heartbeats of a feed.
constexpr Duration FeedHeartbeatPeriod = 300ms;
/// A follower that receives nothing for longer disconnects from the feed.
constexpr Duration FeedReceiveTimeout = 800ms;
/// A feed whose reads of the store are overdue for longer is stale; its followers read the store.
constexpr Duration FeedStalenessLimit = 500ms;
/// Interval between two totals of the loads, and between two reports of a follower.
constexpr Duration LoadPeriod = 200ms;
/// Upper bound of FeedLoad::period when it is read: twice LoadPeriod.
constexpr Duration MaxLoadPeriod = 400ms;
constexpr Liveness FeedLiveness{1s, 1s, 2, 2s};

} // namespace lycheearch
