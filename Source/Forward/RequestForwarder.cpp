#include "Forward/RequestForwarder.h"

#include <algorithm>
#include <utility>

#include "Base/Hash.h"
#include "Forward/SendOutcomes.h"
#include "Net/HttpStatus.h"

namespace lycheearch {

namespace {

constexpr int LowestEnginePriority = 9; ///< 0 is the highest priority.
/// Retry-After of the 503 responses that have no value of their own below.
constexpr Duration DefaultRetryAfter = 300ms;
constexpr Duration StoppingRetryAfter = 20ms;
constexpr Duration NotReadyRetryAfter = 500ms;
/// A request is retried only if more than this is left until its deadline; in less time a retry is
/// of no use.
constexpr Duration MinTimeForRetry = 30ms;
/// A request is not retried after so many servers ended under it, at any daemon: it may be the
/// cause, and each retry may end all requests on one more server.
constexpr std::size_t MaxServersEnded = 2;

std::string formatSeconds(Duration duration)
{
    constexpr int msPerSecond = 1000;
    const std::int64_t ms = toMilliseconds(duration);
    const std::string fraction = std::to_string(msPerSecond + ms % msPerSecond).substr(1);
    return std::to_string(ms / msPerSecond) + "." + fraction;
}

} // namespace

RequestForwarder::RequestForwarder(ForwardContext &context, ResponseWriter &writer,
                                   DecodedRequest request, SharedBody body, TimePoint receivedAt)
    : m_context(context)
    , m_writer(writer)
    , m_request(std::move(request))
    , m_body(std::move(body))
    , m_table(context.view.table())
    , m_receivedAt(receivedAt)
    , m_retryAfter(DefaultRetryAfter)
    , m_stream(m_request.lastEventId)
{
    if (m_request.relayed) {
        m_attemptCount = m_request.relayed->attempts;
        m_triedBackends.insert(m_request.relayed->tried.begin(), m_request.relayed->tried.end());
    }
}

RequestForwarder::~RequestForwarder()
{
    leaveAdmission();
    m_context.loop.cancel(m_deadlineTimer);
    m_context.loop.cancel(m_attempt.stallTimer);
    if (m_inAttempt && !m_attempt.relayed) {
        endLatenessWatch(SendOutcome::Cancelled, m_context.loop.now());
    }
}

void RequestForwarder::start(TimePoint now)
{
    if (admit(now)) {
        dispatch(now);
    }
}

bool RequestForwarder::admit(TimePoint now)
{
    if (m_request.relayed) {
        m_relayAdmitted = m_context.relayAdmission.tryEnter();
        if (!m_relayAdmitted) {
            m_declined = true;
            sendLocalResponse(HttpStatus::Unavailable, "too many requests of other daemons", now,
                              DefaultRetryAfter);
            return false;
        }
    }
    if (!m_table || (m_request.relayed && m_table->version() < m_request.relayed->config)) {
        m_declined = true;
        sendLocalResponse(HttpStatus::Unavailable, "no configuration yet", now, NotReadyRetryAfter);
        return false;
    }
    m_route = m_table->route(m_request.host, m_request.head.target);
    if (m_route == nullptr) {
        sendLocalResponse(HttpStatus::NotFound, "no matching route", now);
        return false;
    }
    m_priority = m_route->priority;
    if (m_attemptCount > 0 && m_attemptCount >= maxAttempts()) {
        sendLocalResponse(HttpStatus::BadGateway, "no attempt is left", now);
        return false;
    }
    if (!authenticate(now)) {
        return false;
    }
    const Duration timeLimit =
        std::min(m_request.timeLeft.value_or(m_route->timeout), m_route->timeout);
    if (!m_context.shutdownPolicy.admits(timeLimit, m_route->retryable(), now)) {
        m_declined = true;
        sendLocalResponse(HttpStatus::Unavailable, "the process is stopping", now,
                          StoppingRetryAfter);
        return false;
    }
    m_sessionHash =
        stableHash(m_request.session.empty() ? m_request.id.value() : m_request.session.value());
    const ServiceId *service = chooseService(*m_route, m_sessionHash);
    if (service == nullptr) {
        sendLocalResponse(HttpStatus::Unavailable, "the route has no service", now,
                          NotReadyRetryAfter);
        return false;
    }
    m_service = *service;
    const ServiceProfile *profile = m_table->service(m_service);
    m_runsModels = profile != nullptr && profile->engine;
    if (m_request.prompt.size() > 1) {
        // The last part of the prompt is specific to this request.
        for (std::size_t i = 0; i + 1 < m_request.prompt.size(); ++i) {
            m_sharedTokens += m_request.prompt[i].tokens;
        }
    }
    hashContent();
    setModel(m_context.models.first(*m_route));
    m_deadline = m_receivedAt + timeLimit;
    m_deadlineTimer = m_context.loop.at(m_deadline, [this](TimePoint currentTime) {
        m_deadlineTimer = TimerId();
        onDeadline(currentTime);
    });
    if (!m_request.relayed) {
        // The daemon that the caller sent it to has counted it.
        m_context.retryBudget.onRequest(m_service, now);
        m_context.hedging.onRequest(m_service, now);
    }
    return true;
}

bool RequestForwarder::authenticate(TimePoint now)
{
    if (m_route->isPublic || !m_table->requiresApiKeys()) {
        return true;
    }
    const AccountProfile *account = m_table->account(m_request.apiKey);
    if (account == nullptr) {
        sendLocalResponse(HttpStatus::Unauthorized, "unknown API key", now);
        return false;
    }
    m_account = account->name;
    // The account's priority takes precedence; the route's priority orders the requests of accounts
    // with equal priority.
    m_priority = account->priority.value_or(0) * UrgencyClassCount + m_route->priority;
    return true;
}

PickRequest RequestForwarder::pickRequest(TimePoint now) const
{
    PickRequest pick;
    pick.service = m_service;
    pick.prompt = {m_affinity, m_request.promptTokens, m_sharedTokens, tokenWeight()};
    pick.urgency = urgency();
    pick.engine = m_runsModels;
    const RolloutSubject subject{m_sessionHash, !m_request.session.empty()};
    pick.versions =
        rolloutRule(m_service, subject, m_context.view, m_context.bounds.maxUnprovenShare, now);
    pick.disallowedBackends = m_triedBackends;
    pick.disallowedBackends.insert(m_unreachableBackends.begin(), m_unreachableBackends.end());
    return pick;
}

double RequestForwarder::unansweredTokens() const
{
    return m_attempt.headReceived ? 0 : m_attempt.prefillTokens;
}

void RequestForwarder::dispatch(TimePoint now)
{
    if (refuseCrashingRequest(now) || declinesRelayed(now)) {
        return;
    }
    while (!m_finished) {
        if (shouldRelay(now) && relay(now)) {
            return;
        }
        PickFault fault = PickFault::None;
        PickRequest requirements = pickRequest(now);
        auto pick = m_context.picker.pick(requirements, m_context.view, now, fault);
        if (!pick && requirements.versions.mode == VersionRule::Mode::Only
            && fault != PickFault::AllRateLimited) {
            // No server of the required version is available; fall back to the other versions.
            requirements.versions = VersionRule();
            pick = m_context.picker.pick(requirements, m_context.view, now, fault);
        }
        if (!pick && fault == PickFault::AllSilent && relay(now)) {
            return;
        }
        if (!pick) {
            m_declined = fault == PickFault::AllSilent;
            m_retryAfter = retryAfter(requirements, fault, now);
            fail(pickFaultMessage(fault), now);
            return;
        }
        if (!passesAdmission(*pick, requirements, now)) {
            return;
        }
        if (openConnection(*pick, now)) {
            send(*pick, requirements, now);
            return;
        }
        if (++m_connectFailures >= maxConnectFailures()) {
            decline("no connection to a backend server", now);
            return;
        }
    }
}

int RequestForwarder::maxConnectFailures() const
{
    if (m_context.picker.reach().cutOff(m_service)) {
        return 1;
    }
    return m_request.relayed ? MaxConnectFailuresRelayed : MaxConnectFailures;
}

Duration RequestForwarder::retryAfter(const PickRequest &requirements, PickFault fault,
                                      TimePoint now) const
{
    const RoomForecast forecast = m_context.picker.roomForecast(requirements, m_context.view, now);
    if (fault == PickFault::AllRateLimited && forecast.limitedRate > 0) {
        const int daemons = m_context.picker.rateLimiter().position().daemons;
        return m_context.returnSchedule.next(m_service, forecast.limitedRate / daemons, now);
    }
    const Duration pause = fault == PickFault::AllFull ? DefaultRetryAfter : forecast.shortestPause;
    if (pause <= Duration::zero()) {
        return DefaultRetryAfter;
    }
    // Spread, so that the refused callers do not all come back in the moment the pause ends.
    constexpr double spreadPart = 0.5;
    constexpr std::uint64_t spreadSteps = 1000;
    const auto step = static_cast<double>(stableHash(m_request.id.value()) % spreadSteps);
    return pause + std::chrono::duration_cast<Duration>(pause * spreadPart * step / spreadSteps);
}

Duration RequestForwarder::maxIdle() const
{
    // Without an id, only a connection of its own tells which response belongs to the request.
    return m_request.id.empty() ? Duration::zero()
                                : m_context.connections.maxIdle(m_route->retryable());
}

bool RequestForwarder::openConnection(const Pick &pick, TimePoint now)
{
    const BackendState *state = m_context.view.backend(pick.backend);
    std::error_code error;
    auto connection =
        m_context.connections.acquire(pick.backend, state->report.address, maxIdle(), now, error);
    if (!connection) {
        m_unreachableBackends.insert(pick.backend);
        m_context.log.write(LogPriority::Notable,
                            LogLine("dispatch.no_socket")
                                .add("id", m_request.id.value())
                                .add("backend", pick.backend.value())
                                .add("error", error.message()),
                            now);
        return false;
    }
    m_attempt = Attempt();
    m_attempt.backend = pick.backend;
    m_attempt.server =
        stableHash(pick.backend.value() + "/" + std::to_string(state->report.startedAt));
    m_attempt.version = state->report.version;
    m_attempt.prefillTokens = pick.prefillTokens;
    m_attempt.workTokens = pick.workTokens();
    m_attempt.slowness = pick.slowness;
    m_attempt.newConnection = connection->isNew();
    m_attempt.connection = std::move(connection);
    return true;
}

void RequestForwarder::send(const Pick &pick, const PickRequest &requirements, TimePoint now)
{
    DispatchOptions options;
    options.target = pick.backend;
    options.account = m_account;
    options.timeLeft = m_deadline - now;
    options.model = m_model;
    options.lastEventId = m_stream.lastEventId();
    if (pick.copyFrom) {
        options.cacheSource = m_context.view.backend(*pick.copyFrom)->report.address;
    }
    if (m_runsModels) {
        options.enginePriority = std::clamp(m_priority, 0, LowestEnginePriority);
    }
    HttpRequestHead head = m_context.headerCodec.encodeRequest(m_request, options);
    head.fields.remove("Content-Length");
    if (m_request.head.contentLength || m_request.head.chunked) {
        head.fields.add("Content-Length", std::to_string(m_body->size()));
    }
    ++m_attemptCount;
    m_inAttempt = true;
    m_execution.onSent();
    m_attempt.sentAt = now;
    m_context.picker.onSent(pick, requirements, now);
    m_attempt.ticket = m_context.rolloutCounts.onSent(m_service, m_attempt.version, now);
    logDispatch(pick, now);
    startStallTimer(now);
    watchLateness(now);
    m_attempt.connection->send(serializeRequestHead(head), m_body, head.method == "HEAD", *this,
                               now);
}

void RequestForwarder::logDispatch(const Pick &pick, TimePoint now)
{
    if (m_attemptCount == 1 && !m_context.log.admitRoutineLine(now)) {
        return;
    }
    const BackendState *state = m_context.view.backend(pick.backend);
    m_context.log.write(m_attemptCount == 1 ? LogPriority::Routine : LogPriority::Notable,
                        LogLine("dispatch")
                            .add("id", m_request.id.value())
                            .add("send", m_attemptCount)
                            .add("route", m_route->name)
                            .add("session", m_request.session.value())
                            .add("priority", m_priority)
                            .add("backend", pick.backend.value())
                            .add("why", pick.reason)
                            .add("load", pick.load)
                            .add("backlog", static_cast<std::int64_t>(pick.backlogTokens))
                            .add("read", static_cast<std::int64_t>(pick.prefillTokens))
                            .add("slowness", pick.slowness)
                            .add("local", pick.local ? "yes" : "no")
                            .add("candidates", pick.candidates)
                            .add("model", m_model)
                            .add("version", state->report.version.value())
                            .add("view_age_ms", now - state->lastReportAt)
                            .add("left_ms", m_deadline - now),
                        now);
}

void RequestForwarder::endAttempt(SendOutcome outcome, bool keepConnection, TimePoint now)
{
    if (m_attempt.relayed) {
        const PeerOutcome result = peerOutcome(outcome);
        m_attemptCount = result == PeerOutcome::Lost ? attemptsIfPeerIsLost() : m_attemptCount;
        endRelay(result, keepConnection, now);
        return;
    }
    m_inAttempt = false;
    if (m_context.admission != nullptr && !m_runsModels) {
        m_context.admission->onEnded(m_service, outcome, now - m_attempt.sentAt, now);
    }
    m_context.responseBudget.release(m_attempt.reservedBytes);
    m_attempt.reservedBytes = 0;
    m_context.loop.cancel(m_attempt.stallTimer);
    endLatenessWatch(outcome, now);
    m_context.picker.onEnded(m_attempt.backend, outcome, urgency(), unansweredTokens(), now);
    const std::optional<bool> worked = versionOutcome(outcome, now);
    m_context.rolloutCounts.onEnded(m_attempt.ticket, worked, latencySample(now), now);
    m_failedBefore = m_failedBefore || worked == false;
    m_triedBackends.insert(m_attempt.backend);
    if (outcome != SendOutcome::Served) {
        m_context.log.write(LogPriority::Notable,
                            LogLine("send.ended")
                                .add("id", m_request.id.value())
                                .add("backend", m_attempt.backend.value())
                                .add("outcome", outcomeName(outcome))
                                .add("status", m_attempt.head.status)
                                .add("after_ms", now - m_attempt.sentAt),
                            now);
    }
    if (keepConnection) {
        m_context.connections.release(m_attempt.backend, std::move(m_attempt.connection));
    } else if (m_attempt.connection) {
        m_context.connections.discard(std::move(m_attempt.connection));
    }
}

std::optional<bool> RequestForwarder::versionOutcome(SendOutcome outcome, TimePoint now) const
{
    const bool gaveUp =
        outcome == SendOutcome::ServerFailed && m_attempt.head.status == HttpStatus::GatewayTimeout;
    const bool unanswered = outcome == SendOutcome::Broken && !m_attempt.headReceived;
    const bool atDeadline = m_deadline - now <= MinTimeForRetry;
    const bool brieflyHung = outcome == SendOutcome::Hung
        && m_context.hedging.unansweredMoves().silence(m_attempt.backend, now)
            < m_route->latencyObjective;
    if (m_failedBefore || brieflyHung || (atDeadline && (gaveUp || unanswered))) {
        return std::nullopt;
    }
    return versionSuccess(outcome);
}

int RequestForwarder::maxAttempts() const
{
    const int granted = m_request.relayed ? m_request.relayed->maxAttempts : 0;
    return granted > 0 ? std::min(granted, m_route->maxAttempts) : m_route->maxAttempts;
}

bool RequestForwarder::mayRetryAfter(int attempts, TimePoint now) const
{
    const std::size_t ended = m_context.pendingCrashes.serversEndedUnder(m_accountHash, m_identity);
    return m_execution.maySendAgain(m_route->retryable()) && m_stream.canContinue()
        && attempts < maxAttempts() && ended < MaxServersEnded
        && m_deadline - now > MinTimeForRetry;
}

void RequestForwarder::retryOrFail(const char *cause, TimePoint now)
{
    const bool may = mayRetry(now);
    const bool retries = may && m_context.retryBudget.tryWithdraw(m_service, now);
    logRetryDecision(cause, may, retries, now);
    if (may && !retries) {
        m_context.metrics.count("lycheearch_retries_denied_total");
    }
    if (retries) {
        dispatch(now);
    } else {
        fail(cause, now);
    }
}

void RequestForwarder::logRetryDecision(const char *cause, bool may, bool retries, TimePoint now)
{
    const RetryUsage budget = m_context.retryBudget.usage(m_service, now);
    m_context.log.write(
        LogPriority::Notable,
        LogLine("retry.decided")
            .add("id", m_request.id.value())
            .add("cause", cause)
            .add("retries", retries ? "yes" : "no")
            .add("budget_denied", may && !retries ? "yes" : "no")
            .add("window_requests", budget.requests)
            .add("window_retries", budget.retries)
            .add("window_allowed", budget.allowed)
            .add("may_have_run", m_execution.mayHaveRun() ? "yes" : "no")
            .add("retryable", m_route->retryable() ? "yes" : "no")
            .add("sends", m_attemptCount)
            .add("max_sends", maxAttempts())
            .add("servers_ended",
                 static_cast<std::int64_t>(
                     m_context.pendingCrashes.serversEndedUnder(m_accountHash, m_identity)))
            .add("left_ms", m_deadline - now),
        now);
}

void RequestForwarder::onDeadline(TimePoint now)
{
    if (m_inAttempt) {
        const bool leftUnread = m_attempt.pause.explainsLoss();
        endAttempt(leftUnread ? SendOutcome::Cancelled : SendOutcome::Broken, false, now);
    }
    fail("timeout", now);
}

void RequestForwarder::fail(const char *cause, TimePoint now)
{
    if (m_finished) {
        return;
    }
    if (m_stream.begun()) {
        finish(0, cause, now);
        m_writer.abortResponse(now);
        return;
    }
    if (m_errorHead) {
        HttpFields fields = m_context.headerCodec.callerFields(*m_errorHead);
        addRelayResult(m_attempt.backend, fields);
        finish(m_errorHead->status, "error response of the backend server", now);
        m_writer.sendResponse(m_errorHead->status, m_errorHead->reason, std::move(fields),
                              m_errorBody, now);
        return;
    }
    m_declined = m_declined && !m_execution.mayHaveRun();
    if (!m_execution.mayHaveRun()) {
        sendLocalResponse(HttpStatus::Unavailable, cause, now, m_retryAfter);
        return;
    }
    sendLocalResponse(now >= m_deadline ? HttpStatus::GatewayTimeout : HttpStatus::BadGateway,
                      cause, now);
}

void RequestForwarder::sendLocalResponse(int status, const char *cause, TimePoint now,
                                         std::optional<Duration> retryAfter)
{
    HttpFields fields;
    fields.add("Content-Type", "text/plain");
    if (retryAfter) {
        fields.add("Retry-After", formatSeconds(*retryAfter));
    }
    addRelayResult(InstanceId(), fields);
    finish(status, cause, now);
    m_writer.sendResponse(status, reasonPhrase(status), std::move(fields),
                          std::string(cause) + "\n", now);
}

void RequestForwarder::cancel(TimePoint now)
{
    if (m_finished) {
        return;
    }
    if (m_inAttempt) {
        endAttempt(SendOutcome::Cancelled, false, now);
    }
    finish(0, "cancelled: the caller disconnected or the daemon stopped", now);
}

void RequestForwarder::giveUp(const char *cause, TimePoint now)
{
    if (m_finished) {
        return;
    }
    if (m_inAttempt) {
        endAttempt(SendOutcome::Cancelled, false, now);
    }
    fail(cause, now);
}

void RequestForwarder::finish(int status, const char *cause, TimePoint now)
{
    m_finished = true;
    leaveAdmission();
    if (std::exchange(m_relayAdmitted, false)) {
        m_context.relayAdmission.leave();
    }
    m_context.loop.cancel(m_deadlineTimer);
    m_context.metrics.count("lycheearch_requests_total",
                            "status=\"" + std::to_string(status) + "\"");
    const bool good = status >= HttpStatus::Ok && status < HttpStatus::FirstRedirect;
    if (good && !m_context.log.admitRoutineLine(now)) {
        return;
    }
    m_context.log.write(
        good ? LogPriority::Routine : LogPriority::Notable,
        LogLine("request.done")
            .add("id", m_request.id.value())
            .add("route", m_route == nullptr ? "" : m_route->name)
            .add("account", m_account.value())
            .add("status", status)
            .add("cause", cause)
            .add("sends", m_attemptCount)
            .add("backend", m_attempt.backend.value())
            .add("events", m_eventCount)
            .add("first_ms",
                 m_firstByteAt == TimePoint() ? Duration(-1000) : m_firstByteAt - m_receivedAt)
            .add("gap_ms", m_longestGap)
            .add("total_ms", now - m_receivedAt)
            .add("config", m_table ? m_table->version().value() : -1)
            .add("config_age_ms", now - m_context.view.configReadAt()),
        now);
}

} // namespace lycheearch
