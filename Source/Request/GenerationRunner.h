#pragma once

#include "Base/Metrics.h"
#include "OwnFormats/ModelEngine.h"
#include "Request/RequestContext.h"
#include "Routing/BackendGate.h"
#include "Routing/RetryBudget.h"
#include "Routing/VersionStats.h"
#include "State/ConfigStore.h"
#include "Timeline/Timeline.h"

namespace lycheearch {

/// What one version generated.
struct Generation
{
    std::string text;
    Tokens tokens;
    bool cancelled = false; ///< Nobody waits for the answer any longer.
    Status failure; ///< Why the text is not whole.
};

/// Runs one version for a request: waits for a server, sends, retries what was not run, and
/// resumes a broken or silent stream elsewhere at the position reached.
class GenerationRunner
{
public:
    GenerationRunner(ModelEngine &engine, BackendGate &gate, BackendTable &backends,
                     const ConfigStore &config, VersionStats &stats, RetryBudget &retries,
                     Timeline &timeline, Metrics &metrics, const Clock &clock);

    /// \p sink receives the parts as they arrive; it may be null.
    Generation run(const RequestContext &context, const VersionId &version, DeltaSink *sink);

private:
    struct Progress;

    bool attempt(const RequestContext &context, Progress &progress);
    void recordAttempt(const RequestContext &context, const VersionId &version,
                       const BackendGrant &grant, const std::string &detail);

    ModelEngine &m_engine;
    BackendGate &m_gate;
    BackendTable &m_backends;
    const ConfigStore &m_config;
    VersionStats &m_stats;
    RetryBudget &m_retries;
    Timeline &m_timeline;
    Metrics &m_metrics;
    const Clock &m_clock;
};

} // namespace lycheearch
