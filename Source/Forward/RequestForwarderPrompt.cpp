#include "Base/Hash.h"
#include "Forward/RequestForwarder.h"

// The part of RequestForwarder that deals with prompts that crash servers.

namespace lycheearch {

void RequestForwarder::hashPrompt()
{
    m_accountHash = stableHash(m_account.value());
    for (std::size_t i = 0; i + 1 < m_request.prompt.size(); ++i) {
        m_sharedParts.push_back(stableHash(m_request.prompt[i].id));
    }
}

std::uint64_t RequestForwarder::contentHash() const
{
    const std::string line = m_request.head.method + " " + m_request.head.target;
    return mixBits(stableHash(line) ^ mixBits(stableHash(m_body)));
}

bool RequestForwarder::refuseCrashingPrompt(TimePoint now)
{
    const auto part = m_context.promptCrashes.refusedPart(m_accountHash, m_sharedParts, now);
    if (!part) {
        return false;
    }
    m_context.log.write(LogPriority::Notable,
                        LogLine("prompt.refused")
                            .add("id", m_request.id.value())
                            .add("account", m_account.value())
                            .add("part", hashText(*part)),
                        now);
    m_context.metrics.count("lycheearch_prompts_refused_total");
    m_retryAfter = PromptCrashTable::CondemnedLifetime;
    fail("a part of the prompt crashes backend servers", now);
    return true;
}

void RequestForwarder::recordAnswerEnd(bool brokenOff, TimePoint now)
{
    if (!m_attempt.headReceived || m_sharedParts.empty()) {
        return;
    }
    if (brokenOff) {
        logBrokenOff(now);
    }
    if (brokenOff && now - m_attempt.headAt < PromptCrashTable::CrashWindow) {
        ++m_serversEnded;
        m_context.promptCrashes.recordCrash({stableHash(m_request.id.value()), m_attempt.server,
                                             m_accountHash, m_sharedParts, Duration::zero()},
                                            now);
    } else {
        m_context.promptCrashes.recordSuccess(m_accountHash, m_sharedParts, now);
    }
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
