#pragma once

#include "Base/Time.h"

namespace lycheearch {

/// Ratio of two exponentially decaying sums, with a prior. Without recent samples the value returns
/// to the prior, so that an estimate made during a failure is dropped unless new samples confirm
/// it.
class DecayingRatio
{
public:
    /// \p prior counts as \p priorWeight of denominator. After \p timeConstant, a sample has
    /// decayed to 1/e.
    DecayingRatio(double ratio, double weight, Duration lifetime);

    void add(double numerator, double denominator, TimePoint now);
    double value(TimePoint now) const;

private:
    double remaining(TimePoint now) const;

    double m_ratio;
    double m_weight;
    Duration m_lifetime;
    double m_numerator = 0;
    double m_denominator = 0;
    TimePoint m_at;
};

} // namespace lycheearch
