#include "Ledger.h"

#include <algorithm>

namespace lycheearch::soak {

namespace {

/// How long after its caller closed the connection a request may still start to run.
constexpr Duration LeaveSlack = 700ms;

bool saysNotRun(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

} // namespace

void Ledger::onSent(const std::string &id, Kind kind, const std::string &account, TimePoint now)
{
    RequestFate fate;
    fate.kind = kind;
    fate.account = account;
    fate.sentAt = now;
    m_fates[id] = fate;
}

void Ledger::onRun(const std::string &id, const std::string &account, const std::string &server,
                   TimePoint now)
{
    const auto found = m_fates.find(id);
    if (found == m_fates.end()) {
        report("a request ran that no caller sent: " + id);
        return;
    }
    RequestFate &fate = found->second;
    ++fate.runs;
    if (fate.kind == Kind::Once && fate.runs > 1) {
        report("a non-idempotent request ran more than once: " + id);
    }
    if (fate.refused && fate.kind == Kind::Once) {
        report("a request ran after it was refused as not run: " + id);
    }
    if (account != fate.account) {
        report("a request ran under the wrong account '" + account + "': " + id);
    }
    if (fate.left && now - fate.leftAt > LeaveSlack && now > m_excusedUntil) {
        report("a request started to run after its caller had disconnected: " + id);
    }
    const auto forbidden = m_forbidden.find(server);
    if (forbidden != m_forbidden.end() && now > forbidden->second && now > m_excusedUntil) {
        report("a draining backend server received a request: " + server + " " + id);
    }
}

void Ledger::onAnswer(const std::string &id, int status, TimePoint)
{
    RequestFate &fate = m_fates.at(id);
    fate.answered = true;
    fate.status = status;
    if (saysNotRun(status)) {
        fate.refused = true;
        if (fate.kind == Kind::Once && fate.runs > 0) {
            report("a request was refused as not run after it had run: " + id);
        }
    }
}

void Ledger::onLeft(const std::string &id, TimePoint now)
{
    RequestFate &fate = m_fates.at(id);
    if (!fate.answered) {
        fate.left = true;
        fate.leftAt = now;
    }
}

double Ledger::served(TimePoint from, TimePoint until) const
{
    int all = 0;
    int good = 0;
    for (const auto &[id, fate] : m_fates) {
        if (fate.sentAt >= from && fate.sentAt < until && !fate.left) {
            ++all;
            good += fate.status == 200 ? 1 : 0;
        }
    }
    return all == 0 ? 0 : static_cast<double>(good) / all;
}

} // namespace lycheearch::soak
