#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "Peer/PeerMessages.h"

namespace lycheearch {

/// What the whole fleet has learned of each version in each task class. Every daemon counts its
/// own requests and takes over the counts of its peers. Safe for use by many threads.
class VersionStats
{
public:
    /// Own counts lose half their weight in this time.
    static constexpr Duration HalfLife = 600s;

    void recordAnswer(const TaskClass &taskClass, const VersionId &version, Tokens tokens,
                      Duration latency);
    void recordError(const TaskClass &taskClass, const VersionId &version);
    void recordRating(const TaskClass &taskClass, const VersionId &version, bool good);

    /// Counts of this daemon, for its peers.
    std::vector<VersionCount> ownCounts() const;
    /// Takes the place of what \p peer sent before.
    void setPeerCounts(const InstanceId &peer, const std::vector<VersionCount> &counts);
    void forgetPeer(const InstanceId &peer);

    /// Sum over all daemons.
    VersionCount total(const TaskClass &taskClass, const VersionId &version) const;
    /// Sum over all daemons and task classes.
    VersionCount total(const VersionId &version) const;
    /// Lets own counts fade. Called regularly.
    void decay(TimePoint now);

private:
    struct Key
    {
        TaskClass taskClass;
        VersionId version;
        auto operator<=>(const Key &) const = default;
    };
    using Counts = std::map<Key, VersionCount>;

    VersionCount &own(const TaskClass &taskClass, const VersionId &version);

    mutable std::mutex m_mutex;
    Counts m_own;
    std::map<InstanceId, Counts> m_peers;
    std::optional<TimePoint> m_decayedAt;
};

/// Lower end of the Wilson interval for a share of \p good in \p total at \p z standard deviations
/// (Wilson, 1927). Zero without observations.
double wilsonLowerBound(double good, double total, double z);

} // namespace lycheearch
