#pragma once

#include "Adapters/ModelEngine.h"
#include "Base/Metrics.h"
#include "Request/RequestContext.h"
#include "Routing/BackendAdmission.h"
#include "Routing/RetryBudget.h"
#include "Routing/VersionStats.h"
#include "State/ConfigStore.h"
#include "Timeline/Timeline.h"

namespace lycheearch {

/// Result of a generation by one version.
struct Generation
{
    std::string text;
    Tokens tokens;
    bool cancelled = false; ///< The caller disconnected.
    Status failure; ///< Set if the text is incomplete.
};

/// Runs one version for a request: acquires a backend server, sends the request, and retries on
/// another server after a failure. If a stream breaks or stalls, the retry resumes it after the
/// last token received.
class GenerationRunner
{
public:
    GenerationRunner(ModelEngine &engine, BackendAdmission &admission, BackendTable &backends,
                     const ConfigStore &config, VersionStats &stats, RetryBudget &retryBudget,
                     Timeline &timeline, Metrics &metrics, const Clock &clock);

    /// Generates the response. \p sink receives the text as it arrives; it may be null.
    Generation run(const RequestContext &context, const VersionId &version, DeltaSink *sink);

private:
    struct Progress;

    bool attempt(const RequestContext &context, Progress &progress);
    void recordAttempt(const RequestContext &context, const VersionId &version,
                       const BackendGrant &grant, const std::string &detail);

    ModelEngine &m_engine;
    BackendAdmission &m_admission;
    BackendTable &m_backends;
    const ConfigStore &m_config;
    VersionStats &m_stats;
    RetryBudget &m_retryBudget;
    Timeline &m_timeline;
    Metrics &m_metrics;
    const Clock &m_clock;
};

} // namespace lycheearch
