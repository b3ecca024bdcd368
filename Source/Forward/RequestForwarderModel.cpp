#include <algorithm>

#include "Base/Hash.h"
#include "Forward/RequestForwarder.h"

// The part of RequestForwarder that handles the model cascade: sets the model, weights its prompt
// tokens, and decides whether the response of a smaller model is replaced by that of a larger one.

namespace lycheearch {

void RequestForwarder::setModel(std::string model)
{
    m_model = std::move(model);
    if (m_sharedTokens > 0) {
        const PromptPart &shared = m_request.prompt[m_request.prompt.size() - 2];
        m_affinity = stableHash(shared.id + "/" + m_model) | 1;
    }
}

int RequestForwarder::urgency() const
{
    return std::clamp(m_route->priority, 0, UrgencyClassCount - 1);
}

double RequestForwarder::tokenWeight() const
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

double RequestForwarder::expectedEvents() const
{
    const ServiceProfile *profile = m_table->service(m_service);
    if (!m_request.expectedTokens || profile == nullptr || !profile->engine) {
        return 0;
    }
    return static_cast<double>(*m_request.expectedTokens)
        / std::max(1, profile->engine->tokensPerEvent);
}

void RequestForwarder::logCascadeChoice(bool escalated, const std::string &smaller,
                                        const EscalationInput &escalationInput,
                                        const EscalationDecision &decision, TimePoint now)
{
    if (!m_context.log.admitRoutineLine(now)) {
        return;
    }
    m_context.log.write(
        LogPriority::Routine,
        LogLine(escalated ? "model.escalate" : "model.keep")
            .add("id", m_request.id.value())
            .add("from", smaller)
            .add("confidence", escalationInput.confidence)
            .add("work", static_cast<std::int64_t>(escalationInput.workTokens))
            .add("mean_backlog", static_cast<std::int64_t>(escalationInput.meanBacklog))
            .add("kept_worth", decision.keptUtility)
            .add("larger_worth", decision.escalatedUtility)
            .add("elapsed_ms", escalationInput.elapsed),
        now);
}

bool RequestForwarder::escalate(TimePoint now)
{
    if (m_attemptCount >= maxAttempts() || !m_route->retryable()) {
        return false;
    }
    const auto larger = m_context.models.next(*m_route, m_model);
    if (!larger || !m_attempt.metadata.confidence) {
        return false;
    }
    const std::string smaller = m_model;
    setModel(*larger);
    PickFault fault = PickFault::None;
    const auto pick = m_context.picker.pick(pickRequest(now), m_context.view, now, fault);
    const double work = pick ? pick->workTokens() : 0;
    const EscalationInput escalationInput{*m_attempt.metadata.confidence,
                                          work,
                                          pick ? pick->meanBacklog : 0,
                                          expectedEvents(),
                                          now - m_receivedAt,
                                          m_deadline - now};
    const EscalationDecision decision =
        m_context.models.decideEscalation(*m_route, *larger, escalationInput, now);
    const bool escalated =
        pick && decision.escalate && m_context.retryBudget.tryWithdraw(m_service, now);
    logCascadeChoice(escalated, smaller, escalationInput, decision, now);
    if (!escalated) {
        setModel(smaller);
        return false;
    }
    // The connection is on the call stack, so it must not be closed here.
    m_context.loop.defer([this] {
        if (m_inAttempt && m_attempt.discarded && !m_finished) {
            const TimePoint currentTime = m_context.loop.now();
            endAttempt(SendOutcome::Cancelled, false, currentTime);
            m_triedBackends.clear();
            dispatch(currentTime);
        }
    });
    return true;
}

} // namespace lycheearch
