#include "Forward/Exchange.h"

#include <algorithm>

#include "Base/Hash.h"
#include "Forward/SendNames.h"
#include "Net/HttpStatus.h"

namespace lycheearch {

namespace {

constexpr int LowestEnginePriority = 9;
/// Failed connections after which the request fails.
constexpr int MostConnectFailures = 4;
/// Idle limit of a reused connection for a request that must not be executed twice. The server may
/// be closing a connection that was idle for longer, and the request could not be retried.
constexpr Duration TrustedIdle = 1500ms;
constexpr Duration LongestIdle = 30s;
/// Retry-After of the 503 responses.
constexpr Duration ShortRetryAfter = 300ms;
constexpr Duration StoppingRetryAfter = 20ms;
constexpr Duration NotReadyRetryAfter = 500ms;
/// Minimum time left before the deadline for a retry to be useful.
constexpr Duration LeastTimeForRepeat = 30ms;

bool promisesNotRun(int status)
{
    return status == HttpStatus::RequestTimeout || status == HttpStatus::Misdirected
        || status == HttpStatus::TooManyRequests || status == HttpStatus::Unavailable;
}

std::string seconds(Duration duration)
{
    constexpr int perSecond = 1000;
    const std::int64_t ms = toMilliseconds(duration);
    const std::string fraction = std::to_string(perSecond + ms % perSecond).substr(1);
    return std::to_string(ms / perSecond) + "." + fraction;
}

} // namespace

Exchange::Exchange(ForwardContext &context, AnswerSink &sink, RoutedRequest request,
                   std::string body, TimePoint receivedAt)
    : m_context(context)
    , m_sink(sink)
    , m_request(std::move(request))
    , m_body(std::move(body))
    , m_table(context.view.table())
    , m_receivedAt(receivedAt)
    , m_lastEvent(m_request.lastEvent)
{
}

Exchange::~Exchange()
{
    m_context.loop.cancel(m_deadlineTimer);
    m_context.loop.cancel(m_attempt.stallTimer);
}

void Exchange::start(TimePoint now)
{
    if (admit(now)) {
        dispatch(now);
    }
}

bool Exchange::admit(TimePoint now)
{
    if (!m_table) {
        answerOwn(HttpStatus::Unavailable, "no configuration yet", now, NotReadyRetryAfter);
        return false;
    }
    m_route = m_table->route(m_request.host, m_request.head.target);
    if (m_route == nullptr) {
        answerOwn(HttpStatus::NotFound, "no matching route", now);
        return false;
    }
    m_priority = m_route->priority;
    if (!authenticate(now)) {
        return false;
    }
    if (!m_context.stop.admits(
            std::min(m_request.timeLeft.value_or(m_route->timeout), m_route->timeout), now)) {
        answerOwn(HttpStatus::Unavailable, "the process is stopping", now, StoppingRetryAfter);
        return false;
    }
    m_sessionHash =
        stableHash(m_request.session.empty() ? m_request.id.value() : m_request.session.value());
    const ServiceId *service = chooseService(*m_route, m_sessionHash);
    if (service == nullptr) {
        answerOwn(HttpStatus::Unavailable, "the route has no service", now, NotReadyRetryAfter);
        return false;
    }
    m_service = *service;
    const ServiceProfile *profile = m_table->service(m_service);
    m_engine = profile != nullptr && profile->engine;
    if (m_request.prompt.size() > 1) {
        // The last part of the prompt is specific to this request.
        for (std::size_t i = 0; i + 1 < m_request.prompt.size(); ++i) {
            m_sharedTokens += m_request.prompt[i].tokens;
        }
    }
    setModel(m_context.models.first(*m_route));
    const Duration allowed =
        std::min(m_request.timeLeft.value_or(m_route->timeout), m_route->timeout);
    m_deadline = m_receivedAt + allowed;
    m_deadlineTimer = m_context.loop.at(m_deadline, [this](TimePoint present) {
        m_deadlineTimer = TimerId();
        onDeadline(present);
    });
    m_context.retries.onRequest(m_service, now);
    return true;
}

bool Exchange::authenticate(TimePoint now)
{
    if (m_route->isPublic || !m_table->needsKeys()) {
        return true;
    }
    const AccountProfile *account = m_table->account(m_request.key);
    if (account == nullptr) {
        answerOwn(HttpStatus::Unauthorized, "unknown API key", now);
        return false;
    }
    m_account = account->name;
    // The account's priority takes precedence; the route's orders requests of equal accounts.
    m_priority = account->priority.value_or(0) * UrgencyClasses + m_route->priority;
    return true;
}

PickRequest Exchange::pickRequest() const
{
    PickRequest pick;
    pick.service = m_service;
    pick.prompt = {m_affinity, m_request.promptTokens, m_sharedTokens, tokenWeight()};
    pick.urgency = urgency();
    pick.engine = m_engine;
    pick.versions =
        rolloutRule(m_service, m_sessionHash, m_context.view, m_context.bounds.exposeShare);
    pick.avoid = m_tried;
    pick.avoid.insert(m_unreachable.begin(), m_unreachable.end());
    return pick;
}

double Exchange::unansweredTokens() const
{
    return m_attempt.answered ? 0 : m_attempt.readTokens;
}

void Exchange::dispatch(TimePoint now)
{
    while (!m_finished) {
        PickFault fault = PickFault::None;
        PickRequest wanted = pickRequest();
        auto pick = m_context.picker.pick(wanted, m_context.view, now, fault);
        if (!pick && wanted.versions.mode == VersionRule::Mode::Only) {
            // No server of the required version is available; fall back to the other versions.
            wanted.versions = VersionRule();
            pick = m_context.picker.pick(wanted, m_context.view, now, fault);
        }
        if (!pick) {
            fail(pickFaultName(fault), now);
            return;
        }
        if (openLink(*pick, now)) {
            send(*pick, wanted, now);
            return;
        }
        if (++m_connectFailures >= MostConnectFailures) {
            fail("no connection to a backend server", now);
            return;
        }
    }
}

bool Exchange::openLink(const Pick &pick, TimePoint now)
{
    const BackendState *state = m_context.view.backend(pick.backend);
    std::error_code error;
    const Duration longestIdle = m_route->repeatable() ? LongestIdle : TrustedIdle;
    auto link =
        m_context.links.acquire(pick.backend, state->report.address, longestIdle, now, error);
    if (!link) {
        m_unreachable.insert(pick.backend);
        m_context.log.write(LogWeight::Notable,
                            LogLine("dispatch.no_socket")
                                .add("id", m_request.id.value())
                                .add("backend", pick.backend.value())
                                .add("error", error.message()),
                            now);
        return false;
    }
    m_attempt = Attempt();
    m_attempt.backend = pick.backend;
    m_attempt.version = state->report.version;
    m_attempt.readTokens = pick.readTokens;
    m_attempt.workTokens = pick.workTokens();
    m_attempt.freshLink = link->fresh();
    m_attempt.link = std::move(link);
    return true;
}

void Exchange::send(const Pick &pick, const PickRequest &wanted, TimePoint now)
{
    DispatchOrder order;
    order.target = pick.backend;
    order.account = m_account;
    order.timeLeft = m_deadline - now;
    order.model = m_model;
    order.lastEvent = m_lastEvent;
    if (pick.copyFrom) {
        order.cacheSource = m_context.view.backend(*pick.copyFrom)->report.address;
    }
    if (m_engine) {
        order.enginePriority = std::clamp(m_priority, 0, LowestEnginePriority);
    }
    HttpRequestHead head = m_context.dialect.encodeRequest(m_request, order);
    removeConnectionFields(head.fields);
    head.fields.remove("Content-Length");
    if (m_request.head.contentLength || m_request.head.chunked) {
        head.fields.add("Content-Length", std::to_string(m_body.size()));
    }
    ++m_sends;
    m_inAttempt = true;
    m_attempt.sentAt = now;
    m_context.picker.onSent(pick, wanted, now);
    m_context.rollouts.onSent(m_service, m_attempt.version);
    logDispatch(pick, now);
    armStall(now);
    m_attempt.link->send(serializeRequestHead(head) + m_body, head.method == "HEAD", *this, now);
}

void Exchange::logDispatch(const Pick &pick, TimePoint now)
{
    if (m_sends == 1 && !m_context.log.routineAllowed(now)) {
        return;
    }
    const BackendState *state = m_context.view.backend(pick.backend);
    m_context.log.write(m_sends == 1 ? LogWeight::Routine : LogWeight::Notable,
                        LogLine("dispatch")
                            .add("id", m_request.id.value())
                            .add("send", m_sends)
                            .add("route", m_route->name)
                            .add("session", m_request.session.value())
                            .add("priority", m_priority)
                            .add("backend", pick.backend.value())
                            .add("why", pick.reason)
                            .add("load", pick.load)
                            .add("backlog", static_cast<std::int64_t>(pick.backlogTokens))
                            .add("read", static_cast<std::int64_t>(pick.readTokens))
                            .add("local", pick.local ? "yes" : "no")
                            .add("candidates", pick.candidates)
                            .add("model", m_model)
                            .add("version", state->report.version.value())
                            .add("view_age_ms", now - state->heardAt)
                            .add("left_ms", m_deadline - now),
                        now);
}

BackendLinkListener::Verdict Exchange::onAnswerHead(const HttpResponseHead &head, TimePoint now)
{
    AnswerFacts facts = m_context.dialect.decodeAnswer(head);
    if (!facts.requestId.empty() && facts.requestId != m_request.id.value()) {
        m_context.log.write(LogWeight::Notable,
                            LogLine("answer.foreign")
                                .add("id", m_request.id.value())
                                .add("backend", m_attempt.backend.value())
                                .add("answer_id", facts.requestId),
                            now);
        return Verdict::Skip;
    }
    if (facts.load) {
        m_context.picker.onLoadReported(m_attempt.backend, facts.load->running, facts.load->waiting,
                                        now);
    }
    m_context.picker.onAnswering(m_attempt.backend, urgency(), unansweredTokens(), now);
    m_attempt.answered = true;
    m_attempt.streaming = m_route->kind == RouteKind::EventStream && head.status == HttpStatus::Ok
        && facts.sealed && head.fields.find("Content-Encoding") == nullptr;
    m_attempt.head = head;
    m_attempt.facts = std::move(facts);
    if (m_attempt.streaming && !m_streamBegun) {
        m_context.models.onFirstEvent(m_model, m_attempt.workTokens, now - m_attempt.sentAt, now);
        m_attempt.dropped = escalate(now);
    }
    return Verdict::Accept;
}

void Exchange::onAnswerBody(std::string_view bytes, TimePoint now)
{
    if (m_attempt.dropped) {
        return;
    }
    if (!m_attempt.streaming) {
        m_attempt.body.append(bytes);
        return;
    }
    std::vector<StreamEvent> events;
    if (!m_attempt.splitter.feed(bytes, events)) {
        releaseAttempt(SendOutcome::Broken, false, now);
        retryOrFail("an event exceeds the size limit", now);
        return;
    }
    relayEvents(events, now);
}

void Exchange::onAnswerEnd(TimePoint now)
{
    if (m_attempt.dropped) {
        releaseAttempt(SendOutcome::Served, true, now);
        m_tried.clear();
        dispatch(now);
        return;
    }
    if (m_attempt.streaming) {
        onStreamEnd(now);
    } else {
        onWholeAnswer(now);
    }
}

void Exchange::onWholeAnswer(TimePoint now)
{
    const int status = m_attempt.head.status;
    if (m_attempt.facts.notExecuted) {
        releaseAttempt(status == HttpStatus::Misdirected ? SendOutcome::Misdirected
                                                         : SendOutcome::Overloaded,
                       true, now);
        retryOrFail(status == HttpStatus::Misdirected ? "another instance has the address"
                                                      : "the backend server refused the request",
                    now);
        return;
    }
    m_mayHaveRun = true;
    if (status < HttpStatus::FirstRedirect) {
        const bool whole =
            m_attempt.facts.sealed && m_attempt.head.fields.find("Content-Encoding") == nullptr;
        releaseAttempt(whole ? SendOutcome::Served : SendOutcome::Broken, whole, now);
        if (whole) {
            deliverAttempt(now);
        } else {
            retryOrFail("the response has no seal or has a content encoding", now);
        }
        return;
    }
    releaseAttempt(status >= HttpStatus::FirstServerError ? SendOutcome::ServerFailed
                                                          : SendOutcome::Served,
                   true, now);
    if (!promisesNotRun(status)) {
        m_failedHead = m_attempt.head;
        m_failedBody = m_attempt.body;
    }
    if (status >= HttpStatus::FirstServerError || promisesNotRun(status)) {
        retryOrFail("error response of the backend server", now);
    } else {
        deliverAttempt(now);
    }
}

void Exchange::onLinkLost(Delivery delivery, std::error_code error, TimePoint now)
{
    m_context.log.write(LogWeight::Notable,
                        LogLine("link.lost")
                            .add("id", m_request.id.value())
                            .add("backend", m_attempt.backend.value())
                            .add("sent", delivery == Delivery::NotSent ? "no" : "maybe")
                            .add("fresh", m_attempt.freshLink ? "yes" : "no")
                            .add("error", error.message())
                            .add("after_ms", now - m_attempt.sentAt),
                        now);
    const bool silent = error == std::errc::timed_out;
    if (delivery == Delivery::NotSent) {
        --m_sends;
        m_unreachable.insert(m_attempt.backend);
        releaseAttempt(silent ? SendOutcome::Silent : SendOutcome::Unreachable, false, now);
        if (++m_connectFailures >= MostConnectFailures) {
            fail("no connection to a backend server", now);
        } else {
            dispatch(now);
        }
        return;
    }
    m_mayHaveRun = true;
    // A healthy server may have closed a reused idle connection.
    const bool reset = !m_attempt.answered && m_attempt.freshLink;
    releaseAttempt(silent      ? SendOutcome::Silent
                       : reset ? SendOutcome::Reset
                               : SendOutcome::Broken,
                   false, now);
    retryOrFail("connection to the backend server lost", now);
}

void Exchange::releaseAttempt(SendOutcome outcome, bool keepLink, TimePoint now)
{
    m_inAttempt = false;
    m_context.loop.cancel(m_attempt.stallTimer);
    m_context.picker.onEnded(m_attempt.backend, outcome, urgency(), unansweredTokens(), now);
    m_context.rollouts.onEnded(m_service, m_attempt.version, versionVerdict(outcome), pace(now));
    m_tried.insert(m_attempt.backend);
    if (outcome != SendOutcome::Served) {
        m_context.log.write(LogWeight::Notable,
                            LogLine("send.ended")
                                .add("id", m_request.id.value())
                                .add("backend", m_attempt.backend.value())
                                .add("outcome", outcomeName(outcome))
                                .add("status", m_attempt.head.status)
                                .add("after_ms", now - m_attempt.sentAt),
                            now);
    }
    if (keepLink) {
        m_context.links.release(m_attempt.backend, std::move(m_attempt.link));
    } else if (m_attempt.link) {
        m_context.links.discard(std::move(m_attempt.link));
    }
}

bool Exchange::mayRepeat(TimePoint now) const
{
    const bool safe = m_route->repeatable() || !m_mayHaveRun;
    return safe && m_sends < m_route->maxAttempts && m_deadline - now > LeastTimeForRepeat;
}

void Exchange::retryOrFail(const char *cause, TimePoint now)
{
    if (!mayRepeat(now)) {
        fail(cause, now);
        return;
    }
    if (!m_context.retries.withdraw(m_service, now)) {
        m_context.metrics.count("lycheearch_retries_denied_total");
        fail(cause, now);
        return;
    }
    dispatch(now);
}

void Exchange::onDeadline(TimePoint now)
{
    if (m_inAttempt) {
        m_mayHaveRun = true;
        releaseAttempt(SendOutcome::Broken, false, now);
    }
    fail("timeout", now);
}

void Exchange::deliverAttempt(TimePoint now)
{
    HttpFields fields = m_attempt.head.fields;
    removeConnectionFields(fields);
    fields.remove("Content-Length");
    m_firstByteAt = now;
    finish(m_attempt.head.status, "served", now);
    m_sink.sendWhole(m_attempt.head.status, m_attempt.head.reason, std::move(fields),
                     m_attempt.body, now);
}

void Exchange::fail(const char *cause, TimePoint now)
{
    if (m_finished) {
        return;
    }
    if (m_streamBegun) {
        finish(0, cause, now);
        m_sink.breakOff(now);
        return;
    }
    if (m_failedHead) {
        HttpFields fields = m_failedHead->fields;
        removeConnectionFields(fields);
        fields.remove("Content-Length");
        finish(m_failedHead->status, "error response of the backend server", now);
        m_sink.sendWhole(m_failedHead->status, m_failedHead->reason, std::move(fields),
                         m_failedBody, now);
        return;
    }
    if (!m_mayHaveRun) {
        answerOwn(HttpStatus::Unavailable, cause, now, ShortRetryAfter);
        return;
    }
    answerOwn(now >= m_deadline ? HttpStatus::GatewayTimeout : HttpStatus::BadGateway, cause, now);
}

void Exchange::answerOwn(int status, const char *cause, TimePoint now,
                         std::optional<Duration> retryAfter)
{
    HttpFields fields;
    fields.add("Content-Type", "text/plain");
    if (retryAfter) {
        fields.add("Retry-After", seconds(*retryAfter));
    }
    finish(status, cause, now);
    m_sink.sendWhole(status, reasonPhrase(status), std::move(fields), std::string(cause) + "\n",
                     now);
}

void Exchange::cancel(TimePoint now)
{
    if (m_finished) {
        return;
    }
    if (m_inAttempt) {
        releaseAttempt(SendOutcome::Cancelled, false, now);
    }
    finish(0, "cancelled: the caller disconnected or the daemon stopped", now);
}

void Exchange::finish(int status, const char *cause, TimePoint now)
{
    m_finished = true;
    m_context.loop.cancel(m_deadlineTimer);
    m_context.metrics.count("lycheearch_requests_total",
                            "status=\"" + std::to_string(status) + "\"");
    const bool good = status >= HttpStatus::Ok && status < HttpStatus::FirstRedirect;
    if (good && !m_context.log.routineAllowed(now)) {
        return;
    }
    m_context.log.write(
        good ? LogWeight::Routine : LogWeight::Notable,
        LogLine("request.done")
            .add("id", m_request.id.value())
            .add("route", m_route == nullptr ? "" : m_route->name)
            .add("account", m_account.value())
            .add("status", status)
            .add("cause", cause)
            .add("sends", m_sends)
            .add("backend", m_attempt.backend.value())
            .add("events", m_events)
            .add("first_ms",
                 m_firstByteAt == TimePoint() ? Duration(-1000) : m_firstByteAt - m_receivedAt)
            .add("gap_ms", m_longestGap)
            .add("total_ms", now - m_receivedAt)
            .add("config", m_table ? m_table->version().value() : -1)
            .add("config_age_ms", now - m_context.view.configReadAt()),
        now);
}

} // namespace lycheearch
