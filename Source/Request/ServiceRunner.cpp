#include "Request/ServiceRunner.h"

#include <thread>

#include "Request/VersionPolicy.h"

namespace lycheearch {

namespace {

constexpr int MaxAttempts = 6;
/// A call is overdue, and is hedged, after this multiple of the highest latency of the service's
/// backend servers, but not before MinHedgeDelay.
constexpr double HedgeLatencyFactor = 4.0;
constexpr Duration MinHedgeDelay = 100ms;
constexpr Duration HedgeDrainPollInterval = 10ms;

/// The failure, after another attempt at the same call that ended as \p earlier.
Failure withRunState(Failure failure, RunState earlier)
{
    failure.run = gravest(earlier, failure.run);
    return failure;
}

} // namespace

/// Collects the results of a call and its hedge: the first success, or the last failure.
class ServiceRunner::HedgedCall
{
public:
    void finish(Result<std::string> response)
    {
        std::lock_guard lock(m_mutex);
        ++m_finished;
        if (m_response && !m_response->ok() && !response.ok()) {
            response = withRunState(response.failure(), m_response->failure().run);
        }
        if (!m_response || !m_response->ok()) {
            m_response = std::move(response);
        }
        m_changed.notify_all();
    }

    /// Waits until one call has succeeded or \p calls have finished, for at most \p limit. Returns
    /// false on a timeout.
    bool wait(int calls, Duration limit)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(
            lock, limit, [&] { return (m_response && m_response->ok()) || m_finished >= calls; });
    }

    std::optional<Result<std::string>> response()
    {
        std::lock_guard lock(m_mutex);
        return m_response;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    int m_finished = 0;
    std::optional<Result<std::string>> m_response;
};

ServiceRunner::ServiceRunner(PlainService &service, BackendAdmission &admission,
                             BackendTable &backends, const ConfigStore &config,
                             RetryBudget &retryBudget, Timeline &timeline, Metrics &metrics,
                             const Clock &clock)
    : m_service(service)
    , m_admission(admission)
    , m_backends(backends)
    , m_config(config)
    , m_retryBudget(retryBudget)
    , m_timeline(timeline)
    , m_metrics(metrics)
    , m_clock(clock)
{
}

ServiceRunner::~ServiceRunner()
{
    while (m_callThreads > 0) {
        std::this_thread::sleep_for(HedgeDrainPollInterval);
    }
}

Result<std::string> ServiceRunner::run(const RequestContext &context)
{
    return context.operation.idempotent ? sendHedged(context) : sendWithRetries(context);
}

ServiceRunner::Attempt ServiceRunner::sendOnce(const RequestContext &context,
                                               const std::set<InstanceId> &excluded)
{
    const CallerRequest &request = context.request;
    const AdmissionRequest admissionRequest{{{}, request.service, ""}, context.priority,
                                            context.account.id,        context.account.weight,
                                            request.deadline,          excluded};
    const auto grant = m_admission.acquire(admissionRequest);
    if (!grant.ok()) {
        return {grant.failure(), {}};
    }
    const TimePoint now = m_clock.now();
    const InstanceId backend = grant.value().target.instance;
    const Status denied =
        checkService(*m_config.current(), context.account.id, request.service, request.operation);
    if (denied || now >= grant.value().validUntil) {
        m_admission.release(grant.value(), BackendResult::Cancelled, {});
        const Failure expired = makeFailure(Errc::BackendBroken, "the permit expired");
        return {denied ? *denied : expired, backend};
    }
    const TimePoint deadline = std::min(request.deadline, now + context.operation.timeout);
    const auto response = m_service.call(
        grant.value().target, {request.id, request.operation, request.body, deadline}, now);
    BackendResult result = BackendResult::Success;
    if (!response.ok()) {
        const bool refused = response.failure().code == Errc::BackendOverloaded;
        result = refused ? BackendResult::Refused : BackendResult::Failed;
        if (response.failure().code == Errc::BackendBroken) {
            m_backends.markUnknown(backend);
        }
    }
    m_admission.release(grant.value(), result, m_clock.now() - now);
    TimelineEvent event;
    event.kind = "send";
    event.request = request.id;
    event.backend = backend;
    event.dataCentre = grant.value().dataCentre;
    event.detail = response.ok() ? "complete" : response.failure().message;
    m_timeline.record(event);
    return {response, backend};
}

Result<std::string> ServiceRunner::sendWithRetries(const RequestContext &context)
{
    std::set<InstanceId> excluded;
    Attempt last{makeFailure(Errc::NoBackend, "not tried"), {}};
    RunState run = RunState::NotRun;
    for (int count = 0; count < MaxAttempts; ++count) {
        last = sendOnce(context, excluded);
        if (last.response.ok()) {
            return last.response;
        }
        const Failure failure = withRunState(last.response.failure(), run);
        run = failure.run;
        last.response = failure;
        const bool mayRetry = failure.run == RunState::NotRun || context.operation.idempotent;
        const bool backendFault = failure.code == Errc::BackendBroken
            || failure.code == Errc::BackendOverloaded || failure.code == Errc::BackendFailed;
        if (!mayRetry || !backendFault || m_clock.now() >= context.request.deadline) {
            return last.response;
        }
        if (!m_retryBudget.tryWithdraw()) {
            m_metrics.count("lycheearch_retries_refused_total");
            return last.response;
        }
        m_metrics.count("lycheearch_retries_total");
        excluded = {last.backend};
    }
    return last.response;
}

Result<std::string> ServiceRunner::sendHedged(const RequestContext &context)
{
    double maxLatencySeconds = 0;
    for (const BackendView &view : m_backends.views()) {
        if (view.instance.service == context.request.service) {
            maxLatencySeconds = std::max(maxLatencySeconds, view.latencySeconds);
        }
    }
    const auto scaledLatency = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(maxLatencySeconds * HedgeLatencyFactor));
    const Duration delay = std::max(scaledLatency, MinHedgeDelay);
    const auto hedgedCall = std::make_shared<HedgedCall>();
    const auto shared = std::make_shared<const RequestContext>(context);
    startCall(shared, hedgedCall);
    int calls = 1;
    if (!hedgedCall->wait(calls, delay) && m_retryBudget.tryWithdraw()) {
        m_metrics.count("lycheearch_hedges_total");
        startCall(shared, hedgedCall);
        ++calls;
    }
    const Duration left = context.request.deadline - m_clock.now();
    hedgedCall->wait(calls, std::max<Duration>(left, 1ms));
    const auto response = hedgedCall->response();
    if (!response) {
        return makeFailure(Errc::DeadlineExceeded, "no backend server responded in time",
                           RunState::Unknown);
    }
    return *response;
}

void ServiceRunner::startCall(const std::shared_ptr<const RequestContext> &context,
                              const std::shared_ptr<HedgedCall> &hedgedCall)
{
    ++m_callThreads;
    // The thread is detached, so that the request does not wait for the slower call. The destructor
    // waits for all threads.
    std::thread([this, context, hedgedCall] {
        hedgedCall->finish(sendWithRetries(*context));
        --m_callThreads;
    }).detach();
}

} // namespace lycheearch
