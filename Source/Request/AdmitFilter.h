#pragma once

#include <atomic>

#include "Request/Filter.h"
#include "Routing/RetryBudget.h"
#include "State/Billing.h"

namespace lycheearch {

/// Turns away what may not or cannot be served: forbidden models and services, unknown
/// operations, and everything while the daemon stops or could not bill.
class AdmitFilter : public Filter
{
public:
    AdmitFilter(const Billing &billing, RetryBudget &retries, const std::atomic<bool> &stopping);
    Status apply(RequestContext &context) override;

private:
    Status admitChat(RequestContext &context) const;
    Status admitService(RequestContext &context) const;

    const Billing &m_billing;
    RetryBudget &m_retries;
    const std::atomic<bool> &m_stopping;
};

} // namespace lycheearch
