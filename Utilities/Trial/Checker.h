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

/// A time, in calendar microseconds, during which something must receive no new work.
struct ClosedPeriod
{
    std::string subject; ///< Version, data centre or backend server.
    std::int64_t from = 0;
    std::int64_t until = INT64_MAX;
};

/// A graceful stop of a daemon.
struct PlannedStop
{
    std::string daemon;
    std::int64_t from = 0;
    std::int64_t until = INT64_MAX; ///< The process had ended.
};

/// Revisions that a daemon showed, in order.
struct RevisionTrace
{
    std::string daemon;
    std::vector<std::int64_t> revisions;
};

/// Everything that is known of a trial when it is over.
struct Evidence
{
    const Manifest *manifest = nullptr; ///< The most generous one that was in force.
    std::vector<RequestRecord> records;
    nlohmann::json journal = nlohmann::json::array();
    Ledger ledger;
    std::vector<ClosedPeriod> withdrawnVersions;
    std::vector<ClosedPeriod> dataCentresOut;
    std::vector<ClosedPeriod> backendsLeaving;
    std::vector<PlannedStop> plannedStops;
    std::vector<RevisionTrace> revisions;
    std::vector<Duration> publishTimes; ///< From publishing until in force everywhere.
    bool sessionsMayMove = false; ///< A version of sessions was withdrawn.
};

/// One promise of the brief, and how often a trial broke it.
struct Verdict
{
    std::string promise;
    std::int64_t examined = 0; ///< How many cases could have broken it.
    std::vector<std::string> violations;
};

/// Judges a trial against what must always hold. It reads only what callers and backend servers
/// saw, the ledger, and the operator's actions.
class Checker
{
public:
    /// Time in which a change must be in force everywhere.
    static constexpr Duration InForceLimit = 7s;

    explicit Checker(const Evidence &evidence);

    std::vector<Verdict> judge() const;

private:
    Verdict allowedVersions() const;
    Verdict closed(const std::string &promise, const std::vector<ClosedPeriod> &periods,
                   const std::string &field) const;
    Verdict sessionsKeepVersions() const;
    Verdict billedOnce() const;
    Verdict coldLimits() const;
    Verdict wholeAnswers() const;
    Verdict notRunIsTrue() const;
    Verdict runAtMostOnce() const;
    Verdict gracefulStops() const;
    Verdict manifestInForce() const;

    const Evidence &m_evidence;
    std::map<std::string, const RequestRecord *> m_byRequestId;
};

} // namespace lycheearch::trial
