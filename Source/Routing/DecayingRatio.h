#pragma once

#include "Base/Time.h"

namespace lycheearch {

/// Ratio of two exponentially decaying sums, with a prior. Without recent samples the value returns
/// to the prior, so that an estimate made during a failure is dropped unless new samples confirm
/// it.
class DecayingRatio
{
public:
    /// \p prior has the weight of samples whose denominators add up to \p priorWeight. After
    /// \p timeConstant, a sample has decayed to 1/e.
    DecayingRatio(double prior, double priorWeight, Duration timeConstant);

    void add(double numerator, double denominator, TimePoint now);
    double value(TimePoint now) const;
    /// Sum of the denominators that have not decayed, without the prior.
    double weight(TimePoint now) const { return m_denominator * decayFactor(now); }

private:
    double decayFactor(TimePoint now) const;

    double m_prior;
    double m_priorWeight;
    Duration m_timeConstant;
    double m_numerator = 0;
    double m_denominator = 0;
    TimePoint m_updatedAt;
};

} // namespace lycheearch
