#include "Routing/DecayingRatio.h"

#include <cmath>

namespace lycheearch {

DecayingRatio::DecayingRatio(double prior, double priorWeight, Duration timeConstant)
    : m_prior(prior)
    , m_priorWeight(priorWeight)
    , m_timeConstant(timeConstant)
{
}

double DecayingRatio::decayFactor(TimePoint now) const
{
    const std::chrono::duration<double> age = now - m_updatedAt;
    return std::exp(-age.count() / std::chrono::duration<double>(m_timeConstant).count());
}

void DecayingRatio::add(double numerator, double denominator, TimePoint now)
{
    const double factor = decayFactor(now);
    m_numerator = m_numerator * factor + numerator;
    m_denominator = m_denominator * factor + denominator;
    m_updatedAt = now;
}

double DecayingRatio::value(TimePoint now) const
{
    const double factor = decayFactor(now);
    return (m_numerator * factor + m_prior * m_priorWeight)
        / (m_denominator * factor + m_priorWeight);
}

} // namespace lycheearch
