#pragma once

#include "Base/Metrics.h"
#include "Request/Filter.h"
#include "State/Billing.h"

namespace lycheearch {

/// Bills an answered request before its end reaches the caller, and notes calls of unknown outcome.
class BillFilter : public Filter
{
public:
    BillFilter(Billing &billing, Metrics &metrics, const Clock &clock);
    Status apply(RequestContext &context) override;
    void settle(RequestContext &context, const Status &failure) override;

private:
    void bill(const RequestContext &context, BillKind kind);

    Billing &m_billing;
    Metrics &m_metrics;
    const Clock &m_clock;
};

} // namespace lycheearch
