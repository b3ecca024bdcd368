#pragma once

#include <map>
#include <vector>

#include "Config/ConfigState.h"
#include "Routing/RolloutGuard.h"
#include "Routing/SuspectVersions.h"
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
    RolloutWatch(const VersionStats &stats, SuspectVersions &suspects);

    std::vector<VersionStopDecision> look(const ConfigState &config);

private:
    /// Share of bad answers that is to be expected; nothing while too little is known.
    std::optional<double> baselineBad(const ConfigState &config, const VersionSpec &version,
                                      const VersionCount &before) const;
    static bool replaceable(const ConfigState &config, const VersionSpec &version);

    const VersionStats &m_stats;
    SuspectVersions &m_suspects;
    RolloutGuard m_guard;
    std::map<VersionId, VersionCount> m_seen;
};

} // namespace lycheearch
