#pragma once

#include <cstdint>
#include <mutex>

#include "Base/Time.h"

namespace lycheearch {

/// Hybrid logical time: Unix milliseconds in the upper 48 bits and a counter in the lower 16. It
/// orders causally related events across processes.
using HybridTime = std::uint64_t;

/// Hybrid logical clock (Kulkarni et al., 2014).
class HybridClock
{
public:
    /// Time of a local event: greater than all earlier local and observed times.
    HybridTime tick(WallTime now);
    /// Advances the clock to the time of a received message if that is later.
    void observe(HybridTime remote);

private:
    std::mutex m_mutex;
    HybridTime m_last = 0;
};

} // namespace lycheearch
