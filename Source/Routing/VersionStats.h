#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "Peer/PeerMessages.h"

namespace lycheearch {

/// Statistics of each version in each task class, over all daemons of the fleet. Every daemon
/// counts its own requests and adds the counts that its peers report. Thread-safe.
class VersionStats
{
public:
    /// Half-life of this daemon's own counts.
    static constexpr Duration HalfLife = 600s;

    void recordAnswer(const TaskClass &taskClass, const VersionId &version, Tokens tokens,
                      Duration latency);
    void recordError(const TaskClass &taskClass, const VersionId &version);
    void recordRating(const TaskClass &taskClass, const VersionId &version, bool good);

    /// Counts of this daemon, to be sent to its peers.
    std::vector<VersionCount> ownCounts() const;
    /// Replaces the counts that \p peer sent before.
    void setPeerCounts(const InstanceId &peer, const std::vector<VersionCount> &counts);
    void removePeer(const InstanceId &peer);

    /// Sum over all daemons.
    VersionCount total(const TaskClass &taskClass, const VersionId &version) const;
    /// Sum over all daemons and task classes.
    VersionCount total(const VersionId &version) const;
    /// Decays this daemon's own counts by the time since the last call. Must be called
    /// periodically.
    void decay(TimePoint now);

private:
    struct Key
    {
        TaskClass taskClass;
        VersionId version;
        auto operator<=>(const Key &) const = default;
    };
    using Counts = std::map<Key, VersionCount>;

    VersionCount &ownCount(const TaskClass &taskClass, const VersionId &version);

    mutable std::mutex m_mutex;
    Counts m_ownCounts;
    std::map<InstanceId, Counts> m_peerCounts;
    std::optional<TimePoint> m_decayedAt;
};

/// Lower bound of the Wilson score interval for a share of \p good in \p total at \p z standard
/// deviations (Wilson, 1927). Zero without observations.
double wilsonLowerBound(double good, double total, double z);

} // namespace lycheearch
