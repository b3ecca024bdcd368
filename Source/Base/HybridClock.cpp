#include "Base/HybridClock.h"

#include <algorithm>

namespace lycheearch {

namespace {
constexpr unsigned CounterBits = 16;
}

HybridTime HybridClock::tick(WallTime now)
{
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    const HybridTime physical = static_cast<HybridTime>(milliseconds) << CounterBits;
    std::lock_guard lock(m_mutex);
    m_last = std::max(physical, m_last + 1);
    return m_last;
}

void HybridClock::observe(HybridTime remote)
{
    std::lock_guard lock(m_mutex);
    m_last = std::max(m_last, remote);
}

} // namespace lycheearch
