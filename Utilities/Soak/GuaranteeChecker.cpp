#include "GuaranteeChecker.h"

#include <algorithm>

namespace lycheearch::soak {

namespace {

/// How long after its caller closed the connection a request may still start to run.
constexpr Duration MaxStartAfterAbandon = 700ms;

bool meansNotRun(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

} // namespace

void GuaranteeChecker::onSent(const std::string &id, RequestKind kind, const std::string &account,
                              TimePoint now)
{
    RequestHistory history;
    history.kind = kind;
    history.account = account;
    history.sentAt = now;
    m_histories[id] = history;
}

void GuaranteeChecker::onRun(const std::string &id, const std::string &account,
                             const std::string &server, TimePoint now)
{
    const auto found = m_histories.find(id);
    if (found == m_histories.end()) {
        addViolation("a request ran that no caller sent: " + id);
        return;
    }
    RequestHistory &history = found->second;
    ++history.runs;
    if (history.kind == RequestKind::NonIdempotent && history.runs > 1) {
        addViolation("a non-idempotent request ran more than once: " + id);
    }
    if (history.refused && history.kind == RequestKind::NonIdempotent) {
        addViolation("a request ran after it was refused as not run: " + id);
    }
    if (account != history.account) {
        addViolation("a request ran under the wrong account '" + account + "': " + id);
    }
    if (history.abandoned && now - history.abandonedAt > MaxStartAfterAbandon
        && now > m_timeLimitsSuspendedUntil) {
        addViolation("a request started to run after its caller had disconnected: " + id);
    }
    const auto forbidden = m_requestsForbiddenFrom.find(server);
    if (forbidden != m_requestsForbiddenFrom.end() && now > forbidden->second
        && now > m_timeLimitsSuspendedUntil) {
        addViolation("a draining backend server received a request: " + server + " " + id);
    }
}

void GuaranteeChecker::onAnswer(const std::string &id, int status, TimePoint)
{
    RequestHistory &history = m_histories.at(id);
    history.answered = true;
    history.status = status;
    if (meansNotRun(status)) {
        history.refused = true;
        if (history.kind == RequestKind::NonIdempotent && history.runs > 0) {
            addViolation("a request was refused as not run after it had run: " + id);
        }
    }
}

void GuaranteeChecker::onAbandoned(const std::string &id, TimePoint now)
{
    RequestHistory &history = m_histories.at(id);
    if (!history.answered) {
        history.abandoned = true;
        history.abandonedAt = now;
    }
}

double GuaranteeChecker::servedShare(TimePoint from, TimePoint until) const
{
    int total = 0;
    int served = 0;
    for (const auto &[id, history] : m_histories) {
        if (history.sentAt >= from && history.sentAt < until && !history.abandoned) {
            ++total;
            served += history.status == 200 ? 1 : 0;
        }
    }
    return total == 0 ? 0 : static_cast<double>(served) / total;
}

} // namespace lycheearch::soak
