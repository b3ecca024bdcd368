#pragma once

#include "Base/Time.h"
#include "Feed/FeedMessages.h"

namespace lycheearch {

/// What a follower knows of the loads: the total of all daemons by its source, kept up to date by
/// changes, without what this daemon itself had reported. The work of a message that holds changes
/// grows with the changes and this daemon's own load, not with the number of servers.
class FollowedLoads
{
public:
    /// Applies a message of the source, given the loads that this daemon last reported.
    void apply(const FeedLoad &message, const BackendLoads &ownReported);
    /// Loads of all other daemons.
    BackendLoads others() const;
    /// The entries of others() that may have changed with the last message if it was changesOnly;
    /// servers without load have an entry without load. Empty after a total.
    const BackendLoads &changedOthers() const { return m_changedOthers; }

private:
    BackendLoads m_total;
    BackendLoads m_own; ///< Included in the total, as of the last message.
    BackendLoads m_changedOthers;
};

} // namespace lycheearch
