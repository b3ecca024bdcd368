#pragma once

#include <ostream>
#include <vector>

#include "Trial.h"

namespace lycheearch::trial {

/// Size of a fleet whose control traffic is measured.
struct FleetSize
{
    int daemons = 8;
    int backends = 23;
};

/// What a daemon of an idle fleet spends on control, as a mean over the fleet.
struct ControlCost
{
    FleetSize size;
    double coreShare = 0; ///< Of one core.
    double bytesPerSecond = 0; ///< Sent on the network, in both directions together.
    double residentMegabytes = 0;
    double publishMilliseconds = 0; ///< From the call of the tool until in force everywhere.
};

/// Measures an idle fleet of each size and fits straight lines through daemons and backend servers.
/// Bytes are those of the loopback interface, so nothing else may use it meanwhile.
void measureSlopes(const TrialPaths &paths, std::uint16_t firstPort,
                   const std::vector<FleetSize> &sizes, Duration length, std::ostream &out);

} // namespace lycheearch::trial
