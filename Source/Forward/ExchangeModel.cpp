#include <algorithm>

#include "Base/Hash.h"
#include "Forward/Exchange.h"

// Model cascade of a forwarded request: the choice of the model, the cost of its work, and whether
// the response of a smaller model is discarded for that of a larger one.

namespace lycheearch {

void Exchange::setModel(std::string model)
{
    m_model = std::move(model);
    if (m_sharedTokens > 0) {
        const PromptPart &shared = m_request.prompt[m_request.prompt.size() - 2];
        m_affinity = stableHash(shared.id + "/" + m_model) | 1;
    }
}

int Exchange::urgency() const
{
    return std::clamp(m_route->priority, 0, UrgencyClasses - 1);
}

double Exchange::tokenWeight() const
{
    const ServiceProfile *profile = m_table->service(m_service);
    if (profile == nullptr || !profile->engine || m_model.empty()) {
        return 1;
    }
    // The price of a model is proportional to its work per token.
    double price = 0;
    double highest = 0;
    for (const ModelPrice &model : profile->engine->models) {
        highest = std::max(highest, model.cost);
        price = model.model == m_model ? model.cost : price;
    }
    return price > 0 ? price / highest : 1;
}

double Exchange::expectedEvents() const
{
    const ServiceProfile *profile = m_table->service(m_service);
    if (!m_request.expectedTokens || profile == nullptr || !profile->engine) {
        return 0;
    }
    return static_cast<double>(*m_request.expectedTokens)
        / std::max(1, profile->engine->tokensPerEvent);
}

void Exchange::logChoice(bool escalated, const std::string &smaller,
                         const CascadeQuestion &question, const CascadeChoice &choice,
                         TimePoint now)
{
    if (!m_context.log.routineAllowed(now)) {
        return;
    }
    m_context.log.write(LogWeight::Routine,
                        LogLine(escalated ? "model.escalate" : "model.keep")
                            .add("id", m_request.id.value())
                            .add("from", smaller)
                            .add("confidence", question.confidence)
                            .add("work", static_cast<std::int64_t>(question.workTokens))
                            .add("mean_backlog", static_cast<std::int64_t>(question.meanBacklog))
                            .add("kept_worth", choice.keptWorth)
                            .add("larger_worth", choice.largerWorth)
                            .add("elapsed_ms", question.elapsed),
                        now);
}

bool Exchange::escalate(TimePoint now)
{
    if (m_sends >= m_route->maxAttempts || !m_route->repeatable()) {
        return false;
    }
    const auto larger = m_context.models.next(*m_route, m_model);
    if (!larger || !m_attempt.facts.confidence) {
        return false;
    }
    const std::string smaller = m_model;
    setModel(*larger);
    PickFault fault = PickFault::None;
    const auto pick = m_context.picker.pick(pickRequest(), m_context.view, now, fault);
    const double work = pick ? pick->workTokens() : 0;
    const CascadeQuestion question{*m_attempt.facts.confidence,  work,
                                   pick ? pick->meanBacklog : 0, expectedEvents(),
                                   now - m_receivedAt,           m_deadline - now};
    const CascadeChoice choice = m_context.models.choose(*m_route, *larger, question, now);
    const bool escalated = pick && choice.escalate && m_context.retries.withdraw(m_service, now);
    logChoice(escalated, smaller, question, choice, now);
    if (!escalated) {
        setModel(smaller);
        return false;
    }
    m_mayHaveRun = true;
    // The connection must not be closed while it is reporting the head of the response.
    m_context.loop.defer([this] {
        if (m_inAttempt && m_attempt.dropped && !m_finished) {
            const TimePoint present = m_context.loop.now();
            releaseAttempt(SendOutcome::Cancelled, false, present);
            m_tried.clear();
            dispatch(present);
        }
    });
    return true;
}

} // namespace lycheearch
