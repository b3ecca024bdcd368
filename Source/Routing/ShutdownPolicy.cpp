#include "Routing/ShutdownPolicy.h"

namespace lycheearch {

namespace {

/// Period after the start of the shutdown in which all requests are admitted: most end long before
/// the grace period does.
constexpr Duration FullAdmissionPeriod = 2500ms;
/// Time before the end of the grace period at which the remaining requests are terminated.
constexpr Duration TerminationMargin = 300ms;

} // namespace

void ShutdownPolicy::begin(Duration grace, TimePoint now)
{
    m_stopping = true;
    m_beganAt = now;
    m_grace = grace;
}

bool ShutdownPolicy::admits(Duration maxDuration, TimePoint now) const
{
    return !m_stopping || elapsed(now) < FullAdmissionPeriod
        || elapsed(now) + maxDuration < m_grace - TerminationMargin;
}

bool ShutdownPolicy::mustTerminate(TimePoint now) const
{
    return m_stopping && elapsed(now) >= m_grace - TerminationMargin;
}

} // namespace lycheearch
