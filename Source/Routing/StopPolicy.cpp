#include "Routing/StopPolicy.h"

namespace lycheearch {

namespace {

/// Period after the start of the shutdown in which all requests are admitted: most end long before
/// the grace period does.
constexpr Duration OpenPeriod = 2500ms;
/// Time before the end of the grace period at which the remaining requests are terminated.
constexpr Duration Reserve = 300ms;

} // namespace

void StopPolicy::begin(Duration grace, TimePoint now)
{
    m_stopping = true;
    m_since = now;
    m_grace = grace;
}

bool StopPolicy::admits(Duration longest, TimePoint now) const
{
    return !m_stopping || elapsed(now) < OpenPeriod || elapsed(now) + longest < m_grace - Reserve;
}

bool StopPolicy::mustEnd(TimePoint now) const
{
    return m_stopping && elapsed(now) >= m_grace - Reserve;
}

} // namespace lycheearch
