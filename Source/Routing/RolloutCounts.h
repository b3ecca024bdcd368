#pragma once

#include <map>
#include <optional>
#include <vector>

#include "Fleet/FleetView.h"

namespace lycheearch {

/// Counts what this daemon sees of each version of each service.
class RolloutCounts
{
public:
    void onSent(const ServiceId &service, const VersionId &version);
    /// A request ended. \p good is empty if its end tells nothing about the version. \p pace is
    /// the time between two events, or until the answer.
    void onEnded(const ServiceId &service, const VersionId &version, std::optional<bool> good,
                 std::optional<Duration> pace);
    /// What was seen of the rollouts that are ordered.
    std::vector<RolloutEvidence> evidence(const InstanceId &self, const FleetView &view) const;

private:
    std::map<ServiceId, std::map<VersionId, VersionCounts>> m_counts;
};

/// Adds up counts of several daemons.
VersionCounts operator+(const VersionCounts &left, const VersionCounts &right);

} // namespace lycheearch
