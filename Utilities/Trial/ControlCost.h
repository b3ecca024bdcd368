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

/// Mean resources that a daemon of an idle fleet uses for control work.
struct ControlCost
{
    FleetSize size;
    double coreShare = 0; ///< Processor time, as a share of one core.
    double bytesPerSecond = 0; ///< Network traffic, in both directions together.
    double residentMegabytes = 0;
    /// From the start of the operator's tool until every daemon has applied a manifest.
    double publishMilliseconds = 0;
};

/// Measures the control cost in an idle fleet of each size for \p length, and fits it as a linear
/// function of the numbers of daemons and backend servers. Prints a table and the coefficients. The
/// network traffic is that of the whole loopback interface, so nothing else may use it meanwhile.
void measureControlCost(const TrialPaths &paths, std::uint16_t firstPort,
                        const std::vector<FleetSize> &sizes, Duration length, std::ostream &out);

} // namespace lycheearch::trial
