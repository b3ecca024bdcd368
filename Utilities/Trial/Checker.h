#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Config/Manifest.h"
#include "RequestRecord.h"
#include "State/Ledger.h"

namespace lycheearch::trial {

/// A period in which a version, data centre or backend server must receive no new work. Wall-clock
/// times in microseconds since the Unix epoch.
struct ExclusionPeriod
{
    std::string subject; ///< Version, data centre or backend server.
    std::int64_t from = 0;
    std::int64_t until = INT64_MAX;
};

/// A graceful stop of a daemon by the operator. Wall-clock times in microseconds since the Unix
/// epoch.
struct GracefulStop
{
    std::string daemon;
    std::int64_t from = 0;
    std::int64_t until = INT64_MAX; ///< When the process had exited.
};

/// Configuration revisions that a daemon reported in its status, in order of time.
struct RevisionTrace
{
    std::string daemon;
    std::vector<std::int64_t> revisions;
};

/// The data collected during a trial, from which the guarantees are checked.
struct Evidence
{
    const Manifest *manifest = nullptr; ///< The least restrictive manifest published.
    std::vector<RequestRecord> records;
    nlohmann::json journal = nlohmann::json::array(); ///< Requests that backend servers ran.
    Ledger ledger; ///< Bills that reached the log.
    std::vector<ExclusionPeriod> withdrawnVersions;
    std::vector<ExclusionPeriod> dataCentresOutOfService;
    std::vector<ExclusionPeriod> leavingBackends;
    std::vector<GracefulStop> gracefulStops;
    std::vector<RevisionTrace> revisions;
    /// From the start of the operator's tool until every running daemon has applied the manifest.
    std::vector<Duration> publishDurations;
    bool sessionsMaySwitchVersion = false; ///< Because their version was withdrawn.
};

/// Result of checking one guarantee of the system: the cases examined and the violations found.
struct Verdict
{
    std::string guarantee; ///< The guarantee as a sentence.
    std::int64_t examined = 0; ///< Number of cases that could have violated it.
    std::vector<std::string> violations;
};

/// Checks the evidence of a trial against the guarantees of the system, which must hold under every
/// fault. It relies only on what callers and backend servers observed, the ledger, the recorded
/// operator actions and the revisions in daemon status, not on how a daemon came to a decision.
class Checker
{
public:
    /// Time in which every daemon must have applied a configuration change.
    static constexpr Duration ApplyTimeLimit = 7s;

    explicit Checker(const Evidence &evidence);

    std::vector<Verdict> check() const;

private:
    Verdict checkAllowedVersions() const;
    /// Checks that no journal entry whose \p field names the subject of one of \p periods lies
    /// within that period. The first ApplyTimeLimit of a period is not checked.
    Verdict checkExclusions(const std::string &guarantee,
                            const std::vector<ExclusionPeriod> &periods,
                            const std::string &field) const;
    Verdict checkSessionVersions() const;
    Verdict checkBilling() const;
    Verdict checkColdLimits() const;
    Verdict checkAnswers() const;
    Verdict checkNotRunRefusals() const;
    Verdict checkRunsAtMostOnce() const;
    Verdict checkGracefulStops() const;
    Verdict checkManifestApplied() const;

    const Evidence &m_evidence;
    std::map<std::string, const RequestRecord *> m_recordsByRequestId;
};

} // namespace lycheearch::trial
