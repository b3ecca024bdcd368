#include "Routing/StopPolicy.h"

namespace lycheearch {

namespace {

/// At first every request is taken on: most end long before the process must.
constexpr Duration OpenPeriod = 2500ms;
/// Left of the grace period when what still runs is broken off.
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
