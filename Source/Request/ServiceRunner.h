#pragma once

#include <atomic>
#include <memory>

#include "Adapters/PlainService.h"
#include "Base/Metrics.h"
#include "Request/RequestContext.h"
#include "Routing/BackendAdmission.h"
#include "Routing/RetryBudget.h"
#include "State/ConfigStore.h"
#include "Timeline/Timeline.h"

namespace lycheearch {

/// Runs one call of a plain service. A call of a non-idempotent operation is retried only if the
/// failed attempt did not run. A call of an idempotent operation is retried after any failure of a
/// backend server, and hedged: a second call is sent if the first is overdue.
class ServiceRunner
{
public:
    ServiceRunner(PlainService &service, BackendAdmission &admission, BackendTable &backends,
                  const ConfigStore &config, RetryBudget &retryBudget, Timeline &timeline,
                  Metrics &metrics, const Clock &clock);

    ~ServiceRunner();
    ServiceRunner(const ServiceRunner &) = delete;
    ServiceRunner &operator=(const ServiceRunner &) = delete;

    /// Returns the response body of the service. For an idempotent operation, blocks until the
    /// deadline of the request at most.
    Result<std::string> run(const RequestContext &context);

private:
    class HedgedCall;

    struct Attempt
    {
        Result<std::string> response;
        InstanceId backend;
    };

    Attempt sendOnce(const RequestContext &context, const std::set<InstanceId> &excluded);
    Result<std::string> sendWithRetries(const RequestContext &context);
    Result<std::string> sendHedged(const RequestContext &context);
    void startCall(const std::shared_ptr<const RequestContext> &context,
                   const std::shared_ptr<HedgedCall> &hedgedCall);

    PlainService &m_service;
    BackendAdmission &m_admission;
    BackendTable &m_backends;
    const ConfigStore &m_config;
    RetryBudget &m_retryBudget;
    Timeline &m_timeline;
    Metrics &m_metrics;
    const Clock &m_clock;
    /// Number of threads that run calls of idempotent operations.
    std::atomic<int> m_callThreads = 0;
};

} // namespace lycheearch
