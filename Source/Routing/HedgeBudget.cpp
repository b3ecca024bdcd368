#include "Routing/HedgeBudget.h"

#include <algorithm>

#include "Base/Hash.h"

namespace lycheearch {

namespace {

constexpr Duration MinWindow = 1s;
constexpr std::uint64_t ThresholdSteps = 1'000'000;

} // namespace

HedgeBudget::HedgeBudget(const InstanceId &self)
    : m_self(self.value())
    , m_window(RetryBounds{})
{
}

void HedgeBudget::setLimit(double maxShare, Duration window)
{
    m_maxShare = maxShare;
    m_length = std::max(window, MinWindow);
}

void HedgeBudget::onRequest(const ServiceId &service, TimePoint now)
{
    setThreshold(service, now);
    m_window.onRequest(service, now);
}

bool HedgeBudget::allows(const ServiceId &service, TimePoint now)
{
    setThreshold(service, now);
    return m_maxShare > 0 && m_window.allows(service, now);
}

bool HedgeBudget::tryWithdraw(const ServiceId &service, TimePoint now)
{
    setThreshold(service, now);
    return m_maxShare > 0 && m_window.tryWithdraw(service, now);
}

void HedgeBudget::setThreshold(const ServiceId &service, TimePoint now)
{
    // The daemons' epochs begin at different times, so that their allowances don't add up when the
    // thresholds change.
    const std::uint64_t seed = stableHash("hedge/" + m_self + "/" + service.value());
    const auto epoch = static_cast<std::uint64_t>((m_length * EpochWindows).count());
    const auto time = static_cast<std::uint64_t>(now.time_since_epoch().count());
    const std::uint64_t number = (time + mixBits(seed) % epoch) / epoch;
    const auto threshold =
        static_cast<double>(mixBits(seed ^ mixBits(number)) % ThresholdSteps) / ThresholdSteps;
    m_window.setBounds({m_maxShare, m_length, threshold});
}

} // namespace lycheearch
