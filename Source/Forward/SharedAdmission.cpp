#include "Forward/SharedAdmission.h"

#include <utility>

#include "Base/Hash.h"

namespace lycheearch {

namespace {

/// Waiting requests look for a place this often.
constexpr Duration StepPeriod = 20ms;
/// Requests of a service that are admitted in one step, so that the loads that other daemons know
/// of follow.
constexpr int MaxAdmittedPerStep = 4;
constexpr Duration StoppingRetryAfter = 20ms;

const char *verdictEvent(AdmissionDecision::Verdict verdict)
{
    switch (verdict) {
    case AdmissionDecision::Verdict::Admit:
        return "admission.admitted";
    case AdmissionDecision::Verdict::Wait:
        return "admission.wait";
    case AdmissionDecision::Verdict::Refuse:
        break;
    }
    return "admission.refused";
}

} // namespace

SharedAdmission::SharedAdmission(EventLoop &loop, const InstanceId &self, const FleetView &view,
                                 const BackendPicker &picker, const ModelCascade &models,
                                 const ShutdownPolicy &shutdownPolicy,
                                 const CapacitySettings &settings, StructuredLog &log,
                                 Metrics &metrics)
    : m_loop(loop)
    , m_view(view)
    , m_picker(picker)
    , m_models(models)
    , m_shutdownPolicy(shutdownPolicy)
    , m_log(log)
    , m_metrics(metrics)
    , m_controller(self, settings.longestWaitPart)
{
    applySettings(settings);
}

SharedAdmission::~SharedAdmission()
{
    m_loop.cancel(m_timer);
}

void SharedAdmission::applySettings(const CapacitySettings &settings)
{
    std::map<std::uint64_t, AccountTerms> terms;
    for (const auto &[account, accountTerms] : settings.accounts) {
        terms[stableHash(account.value())] = accountTerms;
    }
    m_controller.shares().setTerms(std::move(terms));
    m_controller.setLongestWaitPart(settings.longestWaitPart);
    m_controller.queue().setLimits(settings.queue);
}

AdmissionAnswer SharedAdmission::ask(const AdmissionAsk &ask, AdmissionWaiter &waiter,
                                     TimePoint now)
{
    const ServiceForecast expected = forecast(ask, now);
    const Ticket ticket = ticketOf(waiter);
    const AdmissionDecision decision = m_controller.decide(ask.request, expected, ticket, now);
    if (decision.verdict == AdmissionDecision::Verdict::Wait) {
        if (ticket == 0) {
            log("admission.wait", ask, expected, decision, now);
            enter(decision.ticket, ask, waiter, now);
        }
    } else {
        if (ticket != 0 || decision.verdict == AdmissionDecision::Verdict::Refuse) {
            log(verdictEvent(decision.verdict), ask, expected, decision, now);
        }
        leave(waiter);
    }
    refuseLater(decision.evicted);
    return {decision.verdict, decision.reason, decision.retryAfter, decision.expected};
}

ServiceForecast SharedAdmission::forecast(const AdmissionAsk &ask, TimePoint now)
{
    const ServiceOccupancy occupancy = m_picker.occupancy(ask.requirements, m_view, now);
    m_occupancy[ask.request.service] = occupancy.ratio();
    return ask.requirements.engine
        ? CapacityForecast::ofEngine(occupancy, ask.pick.backlogTokens, ask.pick.prefillTokens,
                                     m_models.timePerToken(ask.model, now))
        : m_forecast.ofPlainService(ask.request.service, occupancy, now);
}

SharedAdmission::Ticket SharedAdmission::ticketOf(const AdmissionWaiter &waiter) const
{
    const auto found = m_tickets.find(&waiter);
    return found == m_tickets.end() ? 0 : found->second;
}

void SharedAdmission::enter(Ticket ticket, const AdmissionAsk &ask, AdmissionWaiter &waiter,
                            TimePoint now)
{
    m_waiting[ticket] = {&waiter, ask.id, ask.request, now};
    m_tickets[&waiter] = ticket;
    m_metrics.count("lycheearch_admission_waits_total");
    scheduleStep(now);
}

void SharedAdmission::leave(AdmissionWaiter &waiter)
{
    const Ticket ticket = ticketOf(waiter);
    if (ticket != 0) {
        m_controller.queue().remove(ticket);
        m_waiting.erase(ticket);
        m_tickets.erase(&waiter);
    }
}

void SharedAdmission::onFirstEvent(const ServiceId &service, const std::string &route,
                                   Duration expected, Duration took, TimePoint now)
{
    m_controller.onFirstEvent(service, route, expected, took, now);
}

void SharedAdmission::onEnded(const ServiceId &service, SendOutcome outcome, Duration took,
                              TimePoint now)
{
    if (outcome == SendOutcome::Served) {
        m_forecast.onAnswered(service, took, m_occupancy[service], now);
    } else if (outcome == SendOutcome::Overloaded) {
        m_forecast.onRejected(service, now);
    }
}

void SharedAdmission::refuse(Ticket ticket, const char *cause, TimePoint now)
{
    const auto found = m_waiting.find(ticket);
    if (found == m_waiting.end()) {
        return;
    }
    const Waiting entry = found->second;
    const Duration pause = m_shutdownPolicy.stopping()
        ? StoppingRetryAfter
        : m_controller.refuseWaiting(entry.request, ticket, now);
    leave(*entry.waiter);
    m_metrics.count("lycheearch_admission_refused_total");
    m_log.write(LogPriority::Notable,
                LogLine("admission.refused")
                    .add("id", entry.id)
                    .add("service", entry.request.service.value())
                    .add("route", entry.request.route)
                    .add("cause", cause)
                    .add("waited_ms", now - entry.since)
                    .add("retry_after_ms", pause),
                now);
    entry.waiter->onAdmissionRefused(cause, pause, now);
}

void SharedAdmission::refuseLater(const std::vector<Ticket> &tickets)
{
    for (const Ticket ticket : tickets) {
        m_loop.at(m_loop.now(), [this, ticket](TimePoint now) {
            refuse(ticket, "displaced by a more urgent request", now);
        });
    }
}

void SharedAdmission::scheduleStep(TimePoint now)
{
    if (!m_timer.active()) {
        m_timer = m_loop.at(now + StepPeriod, [this](TimePoint currentTime) {
            m_timer = TimerId();
            step(currentTime);
        });
    }
}

void SharedAdmission::step(TimePoint now)
{
    if (m_shutdownPolicy.stopping()) {
        while (!m_waiting.empty()) {
            refuse(m_waiting.begin()->first, "the process is stopping", now);
        }
        return;
    }
    for (const Ticket ticket : m_controller.queue().expired(now)) {
        refuse(ticket, "no place became free in time", now);
    }
    callFirsts(now);
    if (!m_waiting.empty()) {
        scheduleStep(now);
    }
}

void SharedAdmission::callFirsts(TimePoint now)
{
    for (const auto &[service, first] : m_controller.queue().firsts()) {
        std::optional<Ticket> ticket = first;
        for (int i = 0; i < MaxAdmittedPerStep && ticket; ++i) {
            const auto found = m_waiting.find(*ticket);
            if (found == m_waiting.end()) {
                break;
            }
            found->second.waiter->onAdmissionTurn(now);
            if (m_waiting.contains(*ticket)) {
                break; // It still has to wait, and so have those behind it.
            }
            ticket = m_controller.queue().first(service);
        }
    }
}

void SharedAdmission::log(const char *event, const AdmissionAsk &ask,
                          const ServiceForecast &forecast, const AdmissionDecision &decision,
                          TimePoint now)
{
    const bool refused = decision.verdict == AdmissionDecision::Verdict::Refuse;
    if (refused) {
        m_metrics.count("lycheearch_admission_refused_total");
    }
    if (!m_log.admitRoutineLine(now)) {
        return;
    }
    m_log.write(LogPriority::Routine,
                LogLine(event)
                    .add("id", ask.id)
                    .add("service", ask.request.service.value())
                    .add("route", ask.request.route)
                    .add("priority", ask.request.priority)
                    .add("cause", decision.reason)
                    .add("wait_ms", forecast.wait)
                    .add("work_ms", forecast.work)
                    .add("places", forecast.occupancy.places)
                    .add("taken", forecast.occupancy.taken)
                    .add("waiting", forecast.occupancy.waiting)
                    .add("load_age_ms", forecast.occupancy.age)
                    .add("kept_part", decision.keptPart)
                    .add("share_age_ms", m_controller.shares().age(now).value_or(Duration(-1000)))
                    .add("retry_after_ms", decision.retryAfter)
                    .add("left_ms", ask.request.deadline - now),
                now);
}

} // namespace lycheearch
