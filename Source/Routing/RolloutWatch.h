#pragma once

#include <map>
#include <vector>

#include "Config/ConfigState.h"
#include "Routing/RolloutGuard.h"
#include "Routing/VersionStats.h"

namespace lycheearch {

/// A version that must be stopped, and why.
struct VersionStopDecision
{
    VersionId version;
    std::string reason;
};

/// Feeds the guard with what the fleet's counts gained since the last look, for every version that
/// takes work.
class RolloutWatch
{
public:
    explicit RolloutWatch(const VersionStats &stats);

    std::vector<VersionStopDecision> look(const ConfigState &config);

private:
    double baselineBad(const ConfigState &config, const VersionSpec &version) const;

    const VersionStats &m_stats;
    RolloutGuard m_guard;
    std::map<VersionId, VersionCount> m_seen;
};

} // namespace lycheearch
