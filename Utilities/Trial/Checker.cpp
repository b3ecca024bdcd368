#include "Checker.h"

namespace lycheearch::trial {

namespace {

std::string describe(const RequestRecord &record)
{
    return std::string(callKindName(record.kind)) + " " + record.nonce + " of " + record.account;
}

} // namespace

Checker::Checker(const Evidence &evidence)
    : m_evidence(evidence)
{
    for (const RequestRecord &record : evidence.records) {
        for (const AttemptRecord &attempt : record.attempts) {
            m_recordsByRequestId[attempt.requestId] = &record;
        }
    }
}

std::vector<Verdict> Checker::check() const
{
    return {checkAllowedVersions(),
            checkExclusions("a withdrawn version receives no new work",
                            m_evidence.withdrawnVersions, "subject"),
            checkSessionVersions(),
            checkBilling(),
            checkColdLimits(),
            checkExclusions("a data centre taken out receives no new work",
                            m_evidence.dataCentresOutOfService, "data_centre"),
            checkAnswers(),
            checkNotRunRefusals(),
            checkRunsAtMostOnce(),
            checkExclusions("a departing backend server receives no new work",
                            m_evidence.leavingBackends, "backend"),
            checkGracefulStops(),
            checkManifestApplied()};
}

Verdict Checker::checkAllowedVersions() const
{
    Verdict verdict{"a request runs only on an allowed model and version", 0, {}};
    for (const auto &entry : m_evidence.journal) {
        const auto record = m_recordsByRequestId.find(entry.at("request_id").get<std::string>());
        if (record == m_recordsByRequestId.end()) {
            verdict.violations.push_back("a request that no caller sent ran on "
                                         + entry.at("backend").get<std::string>());
            continue;
        }
        ++verdict.examined;
        const auto subject = entry.at("subject").get<std::string>();
        const AccountSpec &account =
            m_evidence.manifest->accounts.at(AccountId(record->second->account));
        const VersionSpec *version = m_evidence.manifest->findVersion(VersionId(subject));
        const bool chat = record->second->kind == CallKind::Chat;
        const bool allowed = chat ? version != nullptr && account.models.contains(version->model)
                && (account.versions.empty() || account.versions.contains(VersionId(subject)))
                                  : account.services.contains(ServiceId(record->second->service));
        if (!allowed) {
            verdict.violations.push_back(describe(*record->second) + " ran on " + subject);
        }
    }
    return verdict;
}

Verdict Checker::checkExclusions(const std::string &guarantee,
                                 const std::vector<ExclusionPeriod> &periods,
                                 const std::string &field) const
{
    Verdict verdict{guarantee, 0, {}};
    for (const auto &entry : m_evidence.journal) {
        const auto at = entry.at("at_us").get<std::int64_t>();
        for (const ExclusionPeriod &period : periods) {
            const bool excluded = at >= period.from + ApplyTimeLimit.count() && at < period.until;
            verdict.examined += excluded ? 1 : 0;
            if (excluded && entry.at(field) == period.subject) {
                verdict.violations.push_back(
                    period.subject + " ran " + entry.at("request_id").get<std::string>() + " "
                    + std::to_string((at - period.from) / 1000) + " ms after it was excluded");
            }
        }
    }
    return verdict;
}

Verdict Checker::checkSessionVersions() const
{
    Verdict verdict{"a session keeps its version", 0, {}};
    std::map<std::string, std::set<std::string>> versions;
    for (const auto &entry : m_evidence.journal) {
        const auto record = m_recordsByRequestId.find(entry.at("request_id").get<std::string>());
        if (record != m_recordsByRequestId.end() && !record->second->session.empty()) {
            versions[record->second->session].insert(entry.at("subject").get<std::string>());
            ++verdict.examined;
        }
    }
    for (const auto &[session, used] : versions) {
        if (used.size() > 1 && !m_evidence.sessionsMaySwitchVersion) {
            verdict.violations.push_back("session " + session + " ran on "
                                         + std::to_string(used.size()) + " versions");
        }
    }
    return verdict;
}

Verdict Checker::checkBilling() const
{
    Verdict verdict{"each request is billed exactly once", 0, {}};
    std::set<std::string> knownKeys;
    for (const RequestRecord &record : m_evidence.records) {
        const std::string key = record.account + "/" + record.key;
        const auto bill = m_evidence.ledger.bills().find(RequestKey(key));
        const bool charged =
            bill != m_evidence.ledger.bills().end() && bill->second.kind == BillKind::Charge;
        knownKeys.insert(key);
        ++verdict.examined;
        if (record.answered && !charged) {
            verdict.violations.push_back(describe(record) + " was answered but not billed");
        }
        bool allAttemptsNotRun = !record.answered && !record.attempts.empty();
        for (const AttemptRecord &attempt : record.attempts) {
            allAttemptsNotRun = allAttemptsNotRun && attempt.run == "not_run";
        }
        if (allAttemptsNotRun && charged) {
            verdict.violations.push_back(describe(record) + " was not run but was billed");
        }
    }
    for (const auto &[key, bill] : m_evidence.ledger.bills()) {
        if (!knownKeys.contains(key.value())) {
            verdict.violations.push_back("a bill without a request: " + key.value());
        }
    }
    return verdict;
}

Verdict Checker::checkColdLimits() const
{
    Verdict verdict{"a cold backend server never receives more than its cold limit", 0, {}};
    for (const auto &entry : m_evidence.journal) {
        verdict.examined += entry.at("cold").get<bool>() ? 1 : 0;
        if (entry.at("over_cold_limit").get<bool>()) {
            verdict.violations.push_back(entry.at("backend").get<std::string>() + " had "
                                         + std::to_string(entry.at("in_flight").get<int>())
                                         + " requests in flight during cold start");
        }
    }
    return verdict;
}

Verdict Checker::checkAnswers() const
{
    Verdict verdict{"every caller receives the whole answer to its own request", 0, {}};
    for (const RequestRecord &record : m_evidence.records) {
        verdict.examined += record.answered ? 1 : 0;
        if (record.answered && !record.answerCorrect) {
            verdict.violations.push_back(
                describe(record) + " received an incomplete answer or one of another request");
        }
    }
    return verdict;
}

Verdict Checker::checkNotRunRefusals() const
{
    Verdict verdict{"a refusal that says not_run is true", 0, {}};
    std::set<std::string> ranRequestIds;
    for (const auto &entry : m_evidence.journal) {
        ranRequestIds.insert(entry.at("request_id").get<std::string>());
    }
    for (const RequestRecord &record : m_evidence.records) {
        for (const AttemptRecord &attempt : record.attempts) {
            const bool reportedNotRun = attempt.run == "not_run";
            verdict.examined += reportedNotRun ? 1 : 0;
            if (reportedNotRun && ranRequestIds.contains(attempt.requestId)) {
                verdict.violations.push_back(describe(record) + " ran, though " + attempt.daemon
                                             + " reported not_run (" + attempt.code + ")");
            }
        }
    }
    return verdict;
}

Verdict Checker::checkRunsAtMostOnce() const
{
    Verdict verdict{"a non-idempotent request runs at most once", 0, {}};
    std::map<std::string, int> runs;
    for (const auto &entry : m_evidence.journal) {
        const auto record = m_recordsByRequestId.find(entry.at("request_id").get<std::string>());
        if (record != m_recordsByRequestId.end() && record->second->kind == CallKind::Booking) {
            ++runs[entry.at("effect").get<std::string>()];
        }
    }
    for (const auto &[effect, count] : runs) {
        ++verdict.examined;
        if (count > 1) {
            verdict.violations.push_back("booking " + effect + " ran " + std::to_string(count)
                                         + " times");
        }
    }
    return verdict;
}

Verdict Checker::checkGracefulStops() const
{
    Verdict verdict{"a planned stop aborts no in-flight request", 0, {}};
    for (const RequestRecord &record : m_evidence.records) {
        for (const AttemptRecord &attempt : record.attempts) {
            for (const GracefulStop &stop : m_evidence.gracefulStops) {
                const bool during = attempt.daemon == stop.daemon
                    && attempt.startMicroseconds <= stop.until && attempt.connected;
                verdict.examined += during ? 1 : 0;
                if (during && attempt.status == 0) {
                    verdict.violations.push_back(describe(record) + " was aborted by the stop of "
                                                 + stop.daemon);
                }
            }
        }
    }
    return verdict;
}

Verdict Checker::checkManifestApplied() const
{
    Verdict verdict{"an accepted manifest is applied within seconds and never reverts", 0, {}};
    for (const Duration time : m_evidence.publishDurations) {
        ++verdict.examined;
        if (time > ApplyTimeLimit) {
            verdict.violations.push_back("a manifest took " + std::to_string(toMilliseconds(time))
                                         + " ms to be applied by every daemon");
        }
    }
    for (const RevisionTrace &trace : m_evidence.revisions) {
        std::int64_t last = 0;
        for (const std::int64_t revision : trace.revisions) {
            ++verdict.examined;
            if (revision < last) {
                verdict.violations.push_back(trace.daemon + " went back from revision "
                                             + std::to_string(last) + " to "
                                             + std::to_string(revision));
            }
            last = revision;
        }
    }
    return verdict;
}

} // namespace lycheearch::trial
