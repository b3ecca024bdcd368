#pragma once

#include <map>
#include <optional>
#include <vector>

#include "Fleet/FleetView.h"

namespace lycheearch {

/// Counts the outcomes of this daemon's requests by service and version, as evidence for rollouts.
class RolloutCounts
{
public:
    void onSent(const ServiceId &service, const VersionId &version);
    /// Records the end of a request. \p good is empty if the outcome says nothing about the
    /// version. \p latency is the mean time between two events of a stream, or the time to the
    /// answer of other requests; it is only counted for good outcomes.
    void onEnded(const ServiceId &service, const VersionId &version, std::optional<bool> good,
                 std::optional<Duration> latency);
    /// Outcomes since this daemon's start for each rollout that is ordered: those of the target
    /// version and those of all other versions.
    std::vector<RolloutEvidence> evidence(const InstanceId &self, const FleetView &view) const;

private:
    std::map<ServiceId, std::map<VersionId, VersionCounts>> m_counts;
};

/// Sum of two counts, field by field.
VersionCounts operator+(const VersionCounts &left, const VersionCounts &right);

} // namespace lycheearch
