#pragma once

#include "Base/Metrics.h"
#include "Request/Filter.h"
#include "State/Billing.h"

namespace lycheearch {

/// Bills a successful request before the response completes, and records an unresolved bill for a
/// non-idempotent call that failed but may have run. Repeats are not billed.
class BillFilter : public Filter
{
public:
    BillFilter(Billing &billing, Metrics &metrics, const Clock &clock);
    Status apply(RequestContext &context) override;
    void onRequestEnd(RequestContext &context, const Status &failure) override;

private:
    void bill(const RequestContext &context, BillKind kind);

    Billing &m_billing;
    Metrics &m_metrics;
    const Clock &m_clock;
};

} // namespace lycheearch
