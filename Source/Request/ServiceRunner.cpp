#include "Request/ServiceRunner.h"

#include <thread>

#include "Request/VersionPolicy.h"

namespace lycheearch {

namespace {

constexpr int MaxAttempts = 6;
/// A call is hedged after this multiple of the highest latency of the service's backend servers.
constexpr double HedgeLatencyFactor = 4.0;
constexpr Duration MinHedgeDelay = 100ms;
constexpr Duration HedgeDrainPoll = 10ms;

} // namespace

/// Collects the results of a call and its hedge: the first success, or the last failure.
class ServiceRunner::HedgedCall
{
public:
    void finish(Result<std::string> answer)
    {
        std::lock_guard lock(m_mutex);
        ++m_finished;
        if (!m_answer || !m_answer->ok()) {
            m_answer = std::move(answer);
        }
        m_changed.notify_all();
    }

    /// Waits until one call has succeeded or \p calls have finished, for at most \p limit. Returns
    /// false on a timeout.
    bool wait(int calls, Duration limit)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(
            lock, limit, [&] { return (m_answer && m_answer->ok()) || m_finished >= calls; });
    }

    std::optional<Result<std::string>> answer()
    {
        std::lock_guard lock(m_mutex);
        return m_answer;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    int m_finished = 0;
    std::optional<Result<std::string>> m_answer;
};

ServiceRunner::ServiceRunner(PlainService &service, BackendAdmission &admission,
                             BackendTable &backends, const ConfigStore &config,
                             RetryBudget &retries, Timeline &timeline, Metrics &metrics,
                             const Clock &clock)
    : m_service(service)
    , m_admission(admission)
    , m_backends(backends)
    , m_config(config)
    , m_retries(retries)
    , m_timeline(timeline)
    , m_metrics(metrics)
    , m_clock(clock)
{
}

ServiceRunner::~ServiceRunner()
{
    while (m_running > 0) {
        std::this_thread::sleep_for(HedgeDrainPoll);
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
    const auto answer = m_service.call(
        grant.value().target, {request.id, request.operation, request.body, deadline}, now);
    BackendResult result = BackendResult::Success;
    if (!answer.ok()) {
        const bool refused = answer.failure().code == Errc::BackendOverloaded;
        result = refused ? BackendResult::Refused : BackendResult::Failed;
        if (answer.failure().code == Errc::BackendBroken) {
            m_backends.markUnknown(backend);
        }
    }
    m_admission.release(grant.value(), result, m_clock.now() - now);
    TimelineEvent event;
    event.kind = "send";
    event.request = request.id;
    event.backend = backend;
    event.dataCentre = grant.value().dataCentre;
    event.detail = answer.ok() ? "complete" : answer.failure().message;
    m_timeline.record(event);
    return {answer, backend};
}

Result<std::string> ServiceRunner::sendWithRetries(const RequestContext &context)
{
    std::set<InstanceId> excluded;
    Attempt last{makeFailure(Errc::NoBackend, "not tried"), {}};
    for (int count = 0; count < MaxAttempts; ++count) {
        last = sendOnce(context, excluded);
        if (last.answer.ok()) {
            return last.answer;
        }
        const Failure &failure = last.answer.failure();
        const bool mayRepeat = failure.run == RunState::NotRun || context.operation.idempotent;
        const bool backendFault = failure.code == Errc::BackendBroken
            || failure.code == Errc::BackendOverloaded || failure.code == Errc::BackendFailed;
        if (!mayRepeat || !backendFault || m_clock.now() >= context.request.deadline) {
            return last.answer;
        }
        if (!m_retries.tryWithdraw()) {
            m_metrics.count("lycheearch_retries_refused_total");
            return last.answer;
        }
        m_metrics.count("lycheearch_retries_total");
        excluded = {last.backend};
    }
    return last.answer;
}

Result<std::string> ServiceRunner::sendHedged(const RequestContext &context)
{
    double maxLatencySeconds = 0;
    for (const BackendView &view : m_backends.views()) {
        if (view.instance.service == context.request.service) {
            maxLatencySeconds = std::max(maxLatencySeconds, view.latencySeconds);
        }
    }
    const auto scaled = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(maxLatencySeconds * HedgeLatencyFactor));
    const Duration delay = std::max(scaled, MinHedgeDelay);
    const auto hedgedCall = std::make_shared<HedgedCall>();
    const auto shared = std::make_shared<const RequestContext>(context);
    startCall(shared, hedgedCall);
    int calls = 1;
    if (!hedgedCall->wait(calls, delay) && m_retries.tryWithdraw()) {
        m_metrics.count("lycheearch_hedges_total");
        startCall(shared, hedgedCall);
        ++calls;
    }
    const Duration left = context.request.deadline - m_clock.now();
    hedgedCall->wait(calls, std::max<Duration>(left, 1ms));
    const auto answer = hedgedCall->answer();
    if (!answer) {
        return makeFailure(Errc::DeadlineExceeded, "no backend server responded in time",
                           RunState::Unknown);
    }
    return *answer;
}

void ServiceRunner::startCall(const std::shared_ptr<const RequestContext> &context,
                              const std::shared_ptr<HedgedCall> &hedgedCall)
{
    ++m_running;
    // The thread is detached, so that the request does not wait for the slower call. The destructor
    // waits for all threads.
    std::thread([this, context, hedgedCall] {
        hedgedCall->finish(sendWithRetries(*context));
        --m_running;
    }).detach();
}

} // namespace lycheearch
