#include "Request/GenerationRunner.h"

#include "Request/VersionPolicy.h"

namespace lycheearch {

namespace {

constexpr int MaxAttempts = 8;

/// Collects the text and forwards it to another sink.
class CollectingSink : public DeltaSink
{
public:
    CollectingSink(std::string &text, DeltaSink *next)
        : m_text(text)
        , m_next(next)
    {
    }
    bool onDelta(const std::string &text) override
    {
        m_text += text;
        return m_next == nullptr || m_next->onDelta(text);
    }

private:
    std::string &m_text;
    DeltaSink *m_next;
};

BackendResult toBackendResult(const EngineOutcome &outcome)
{
    if (outcome.complete) {
        return BackendResult::Success;
    }
    if (outcome.cancelled) {
        return BackendResult::Cancelled;
    }
    const bool refused = outcome.failure && outcome.failure->code == Errc::BackendOverloaded;
    return refused ? BackendResult::Refused : BackendResult::Failed;
}

} // namespace

/// State of a generation across its attempts.
struct GenerationRunner::Progress
{
    VersionId version;
    DeltaSink *sink = nullptr;
    Generation generation;
    std::set<InstanceId> excluded;
    RunState run = RunState::NotRun; ///< Of all attempts so far.
};

GenerationRunner::GenerationRunner(ModelEngine &engine, BackendAdmission &admission,
                                   BackendTable &backends, const ConfigStore &config,
                                   VersionStats &stats, RetryBudget &retryBudget,
                                   Timeline &timeline, Metrics &metrics, const Clock &clock)
    : m_engine(engine)
    , m_admission(admission)
    , m_backends(backends)
    , m_config(config)
    , m_stats(stats)
    , m_retryBudget(retryBudget)
    , m_timeline(timeline)
    , m_metrics(metrics)
    , m_clock(clock)
{
}

Generation GenerationRunner::run(const RequestContext &context, const VersionId &version,
                                 DeltaSink *sink)
{
    Progress progress;
    progress.version = version;
    progress.sink = sink;
    const TimePoint start = m_clock.now();
    for (int count = 0; count < MaxAttempts; ++count) {
        if (!attempt(context, progress)) {
            break;
        }
        if (!m_retryBudget.tryWithdraw()) {
            m_metrics.count("lycheearch_retries_refused_total");
            break;
        }
        m_metrics.count("lycheearch_retries_total");
    }
    Generation &generation = progress.generation;
    if (!generation.failure && !generation.cancelled) {
        m_stats.recordAnswer(context.request.taskClass, version, generation.tokens,
                             m_clock.now() - start);
    }
    return generation;
}

bool GenerationRunner::attempt(const RequestContext &context, Progress &progress)
{
    Generation &generation = progress.generation;
    const bool inSession = context.sessionVersion.has_value();
    AdmissionRequest admissionRequest{{progress.version, {}, context.request.session.value()},
                                      context.priority,
                                      context.account.id,
                                      context.account.weight,
                                      context.request.deadline,
                                      progress.excluded};
    const auto grant = m_admission.acquire(admissionRequest);
    if (!grant.ok()) {
        generation.failure = grant.failure();
        generation.failure->run = progress.run;
        return false;
    }
    const TimePoint now = m_clock.now();
    // While the request waited, the configuration may have changed or the permit may have expired.
    const Status denied =
        checkVersion(*m_config.current(), context.account.id, progress.version, inSession);
    if (denied || now >= grant.value().validUntil) {
        m_admission.release(grant.value(), BackendResult::Cancelled, {});
        generation.failure =
            denied ? denied : makeFailure(Errc::BackendBroken, "the permit expired");
        generation.failure->run = progress.run;
        return !denied;
    }
    const EngineRequest request{
        context.request.id,        progress.version,  context.request.prompt,  context.priority,
        context.request.maxTokens, generation.tokens, context.request.deadline};
    CollectingSink collector(generation.text, progress.sink);
    const EngineOutcome outcome = m_engine.generate(grant.value().target, request, collector, now);
    const BackendResult result = toBackendResult(outcome);
    m_admission.release(grant.value(), result, m_clock.now() - now);
    generation.tokens = outcome.generated;
    generation.cancelled = outcome.cancelled;
    generation.failure = outcome.failure;
    if (generation.failure) {
        const bool started = generation.tokens.value() > 0;
        const RunState latest = started ? RunState::Ran : generation.failure->run;
        progress.run = gravest(progress.run, latest);
        generation.failure->run = progress.run;
    }
    recordAttempt(context, progress.version, grant.value(),
                  outcome.failure ? outcome.failure->message
                                  : (outcome.cancelled ? "cancelled" : "complete"));
    if (result == BackendResult::Success || result == BackendResult::Cancelled) {
        return false;
    }
    if (result == BackendResult::Failed) {
        m_stats.recordError(context.request.taskClass, progress.version);
        if (outcome.failure->code == Errc::BackendBroken) {
            m_backends.markUnknown(grant.value().target.instance);
        }
    }
    progress.excluded = {grant.value().target.instance};
    return m_clock.now() < context.request.deadline;
}

void GenerationRunner::recordAttempt(const RequestContext &context, const VersionId &version,
                                     const BackendGrant &grant, const std::string &detail)
{
    TimelineEvent event;
    event.kind = "send";
    event.request = context.request.id;
    event.session = context.request.session;
    event.backend = grant.target.instance;
    event.version = version;
    event.dataCentre = grant.dataCentre;
    event.detail = detail;
    m_timeline.record(event);
}

} // namespace lycheearch
