#include <algorithm>

#include "Base/Hash.h"
#include "Forward/RequestForwarder.h"

// The part of RequestForwarder that asks for admission before the first attempt, if
// admission is on (capacity.admission). Retries, resumed streams and requests of other daemons were
// admitted before.

namespace lycheearch {

bool RequestForwarder::passesAdmission(const Pick &pick, const PickRequest &requirements,
                                       TimePoint now)
{
    const bool repeated = m_attemptCount > 0 || m_connectFailures > 0 || m_request.relayed
        || m_stream.lastEventId().has_value();
    if (m_context.admission == nullptr || repeated) {
        return true;
    }
    const std::string account = m_account.empty() ? std::string() : m_account.value();
    const AdmissionRequest request{m_service,
                                   stableHash(account),
                                   m_route->name,
                                   m_priority,
                                   m_route->latencyObjective,
                                   m_receivedAt,
                                   m_deadline,
                                   m_identity.content,
                                   m_runsModels ? std::max(1.0, pick.prefillTokens) : 1,
                                   m_body->size()};
    const AdmissionAnswer answer = m_context.admission->ask(
        {m_request.id.value(), request, pick, requirements, m_model}, *this, now);
    m_expectedFirst = answer.expected;
    if (answer.verdict == AdmissionDecision::Verdict::Refuse) {
        onAdmissionRefused(answer.cause, answer.retryAfter, now);
    }
    return answer.verdict == AdmissionDecision::Verdict::Admit;
}

void RequestForwarder::leaveAdmission()
{
    if (m_context.admission != nullptr) {
        m_context.admission->leave(*this);
    }
}

void RequestForwarder::onAdmissionRefused(const char *cause, Duration retryAfter, TimePoint now)
{
    m_retryAfter = retryAfter;
    fail(cause, now);
}

} // namespace lycheearch
