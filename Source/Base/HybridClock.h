#pragma once

#include <cstdint>
#include <mutex>

#include "Base/Time.h"

namespace lycheearch {

/// Hybrid logical time: milliseconds of calendar time in the upper 48 bits and a counter in the
/// lower 16. It orders causally related events over all processes.
using HybridTime = std::uint64_t;

/// Hybrid logical clock (Kulkarni et al., 2014).
class HybridClock
{
public:
    /// Time of a local event.
    HybridTime tick(WallTime now);
    /// Takes the time of a received message into account.
    void observe(HybridTime remote);

private:
    std::mutex m_mutex;
    HybridTime m_last = 0;
};

} // namespace lycheearch
