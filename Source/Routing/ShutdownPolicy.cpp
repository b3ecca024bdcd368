#include "Routing/ShutdownPolicy.h"

#include <algorithm>

namespace lycheearch {

namespace {

/// Period after the start of the shutdown in which all retryable requests are admitted, and its
/// largest part of the grace period: most end long before the grace period does.
constexpr Duration LongAdmissionPeriod = 2500ms;
constexpr double MaxLongAdmissionPart = 1.0 / 3;
/// Time before the end of the grace period at which the remaining requests are terminated.
constexpr Duration TerminationMargin = 300ms;
/// Time before the end of the grace period at which the process exits.
constexpr Duration ExitMargin = 200ms;

} // namespace

void ShutdownPolicy::begin(Duration grace, TimePoint now)
{
    m_stopping = true;
    m_beganAt = now;
    m_grace = grace;
}

bool ShutdownPolicy::admits(Duration maxDuration, bool retryable, TimePoint now) const
{
    if (!m_stopping || elapsed(now) + maxDuration < m_grace - TerminationMargin) {
        return true;
    }
    const Duration admitsLong = std::min(
        LongAdmissionPeriod, std::chrono::duration_cast<Duration>(m_grace * MaxLongAdmissionPart));
    return retryable && elapsed(now) < admitsLong;
}

bool ShutdownPolicy::mustTerminate(TimePoint now) const
{
    return m_stopping && elapsed(now) >= m_grace - TerminationMargin;
}

bool ShutdownPolicy::mustExit(TimePoint now) const
{
    return m_stopping && elapsed(now) >= m_grace - ExitMargin;
}

} // namespace lycheearch
