#pragma once

#include <atomic>

#include "Request/Filter.h"
#include "Routing/RetryBudget.h"
#include "State/Billing.h"

namespace lycheearch {

/// Admission control. Rejects unknown models and operations, models and services that the client
/// account may not use, and all requests while the daemon is stopping or too many bills are
/// pending.
class AdmitFilter : public Filter
{
public:
    AdmitFilter(const Billing &billing, RetryBudget &retryBudget,
                const std::atomic<bool> &stopping);
    Status apply(RequestContext &context) override;

private:
    Status admitChat(RequestContext &context) const;
    Status admitService(RequestContext &context) const;

    const Billing &m_billing;
    RetryBudget &m_retryBudget;
    const std::atomic<bool> &m_stopping;
};

} // namespace lycheearch
