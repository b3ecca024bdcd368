#include "Routing/Hedging.h"

namespace lycheearch {

Hedging::Hedging(const InstanceId &self, WindowedRetryBudget &retries)
    : m_retries(retries)
    , m_budget(self)
{
}

void Hedging::setSettings(const HedgeSettings &settings)
{
    m_settings = settings;
    m_budget.setLimit(settings.maxShare, settings.window);
}

bool Hedging::enabled(const ServiceId &service) const
{
    return m_settings.maxShare > 0 && m_serversShareHosts && m_serversShareHosts(service);
}

void Hedging::onRequest(const ServiceId &service, TimePoint now)
{
    if (enabled(service)) {
        m_budget.onRequest(service, now);
    }
}

bool Hedging::allows(const ServiceId &service, TimePoint now)
{
    return enabled(service) && m_budget.left(service, now) >= 1
        && m_retries.allows(service, now, m_settings.reserveShare);
}

bool Hedging::tryWithdraw(const ServiceId &service, TimePoint now)
{
    return allows(service, now) && m_budget.tryWithdraw(service, now)
        && m_retries.tryWithdraw(service, now, m_settings.reserveShare);
}

} // namespace lycheearch
