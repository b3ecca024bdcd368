#include "Base/Hash.h"
#include "Forward/RequestForwarder.h"

// The part of RequestForwarder that deals with requests and prompts that crash servers.

namespace lycheearch {

void RequestForwarder::hashContent()
{
    m_accountHash = stableHash(m_account.value());
    for (std::size_t i = 0; i + 1 < m_request.prompt.size(); ++i) {
        m_sharedParts.push_back(stableHash(m_request.prompt[i].id));
    }
    std::vector<std::string> parts;
    for (const PromptPart &part : m_request.prompt) {
        parts.push_back(part.id);
    }
    m_identity = requestIdentity(m_request.head.method, m_request.head.target, parts, *m_body);
}

bool RequestForwarder::refuseCrashingRequest(TimePoint now)
{
    m_context.pendingCrashes.settle(now);
    CrashTable &table = m_context.crashes;
    if (const auto part = table.refusedPart(m_accountHash, m_sharedParts, now)) {
        logCrashingRefused("prompt.refused", "part", *part, now);
        m_context.metrics.count("lycheearch_prompts_refused_total");
        m_retryAfter = CondemnedTable::Lifetime;
        fail("a part of the prompt crashes backend servers", now);
        return true;
    }
    if (table.refusesRequest(m_accountHash, m_identity, now)) {
        logCrashingRefused("crash.refused", "content", m_identity.content, now);
        m_context.metrics.count("lycheearch_crashing_requests_refused_total");
        m_retryAfter = CondemnedTable::Lifetime;
        fail("the request crashes backend servers", now);
        return true;
    }
    return false;
}

void RequestForwarder::logCrashingRefused(const char *event, const char *field, std::uint64_t hash,
                                          TimePoint now)
{
    m_context.log.write(LogPriority::Notable,
                        LogLine(event)
                            .add("id", m_request.id.value())
                            .add("account", m_account.value())
                            .add(field, hashText(hash)),
                        now);
}

void RequestForwarder::recordServed(TimePoint now)
{
    m_context.crashes.recordSuccess(m_accountHash, m_sharedParts, m_identity, now);
    m_context.pendingCrashes.withdraw(stableHash(m_request.id.value()));
}

void RequestForwarder::recordConnectionLost(TimePoint now)
{
    if (m_attempt.headReceived && !m_sharedParts.empty()) {
        logBrokenOff(now);
    }
    if (m_attempt.headReceived && now - m_attempt.headAt >= CrashTable::CrashWindow) {
        m_context.crashes.recordSuccess(m_accountHash, m_sharedParts, m_identity, now);
        return;
    }
    // Without a head, the request may have waited for a slot: that says nothing of its parts.
    const auto parts = m_attempt.headReceived ? m_sharedParts : std::vector<std::uint64_t>();
    m_context.pendingCrashes.add(m_service, m_attempt.backend,
                                 {stableHash(m_request.id.value()), m_attempt.server, m_accountHash,
                                  parts, Duration::zero(), m_identity},
                                 now);
}

void RequestForwarder::logBrokenOff(TimePoint now)
{
    std::string parts;
    for (const PromptPart &part : m_request.prompt) {
        parts += (parts.empty() ? "" : ",") + part.id;
    }
    m_context.log.write(LogPriority::Notable,
                        LogLine("answer.broken_off")
                            .add("id", m_request.id.value())
                            .add("backend", m_attempt.backend.value())
                            .add("account", m_account.value())
                            .add("parts", parts)
                            .add("events", m_attempt.relayedEvents)
                            .add("began_ms", now - m_attempt.headAt),
                        now);
}

} // namespace lycheearch
