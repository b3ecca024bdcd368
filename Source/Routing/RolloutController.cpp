#include "Routing/RolloutController.h"

#include <algorithm>
#include <cmath>

#include "Routing/RolloutCounts.h"

namespace lycheearch {

namespace {

/// Fraction of a rollout's time after which each stage may begin.
constexpr double StageStartFractions[] = {0.0, 0.0, 0.52, 0.59, 0.66};
/// Fractions of a rollout's time: from EarliestEndFraction on, it completes as soon as no request
/// is in flight on the old versions; at LatestEndFraction, in any case.
constexpr double EarliestEndFraction = 0.76;
constexpr double LatestEndFraction = 0.93;
/// Shortest time between two stages, so that the outcomes of each stage are evaluated.
constexpr Duration MinStageDuration = 1200ms;

/// Delay of the first stage, in which the daemons report their requests. The share of the first
/// stage depends on the request rate.
constexpr Duration FirstStageDelay = 3s;

/// The target's failure share is evaluated only from this number of bad answers on.
constexpr int MinBadAnswers = 4;
/// The target is bad only if its failure share exceeds that of the other versions by more than
/// this.
constexpr double MinShareExcess = 0.05;
/// The difference of the two shares must also exceed this number of standard errors.
constexpr double MinZScore = 3.0;
/// Timed answers that both sides need before their latencies are compared.
constexpr int MinTimedAnswers = 10;
/// The target is bad if its mean latency exceeds that of the other versions by this factor.
constexpr double SlowFactor = 3.5;

bool failsMoreOften(const RolloutTotals &totals)
{
    const auto answers = static_cast<double>(totals.target.good + totals.target.bad);
    const auto otherAnswers = static_cast<double>(totals.other.good + totals.other.bad);
    if (totals.target.bad < MinBadAnswers) {
        return false;
    }
    const double share = static_cast<double>(totals.target.bad) / answers;
    const double baseline =
        otherAnswers > 0 ? static_cast<double>(totals.other.bad) / otherAnswers : 0;
    const double pooled =
        static_cast<double>(totals.target.bad + totals.other.bad) / (answers + otherAnswers);
    const double standardError = std::sqrt(std::max(pooled * (1 - pooled), 1e-6)
                                           * (1 / answers + 1 / std::max(otherAnswers, 1.0)));
    return share - baseline > MinShareExcess && (share - baseline) / standardError > MinZScore;
}

bool takesLonger(const RolloutTotals &totals)
{
    if (totals.target.latencySamples < MinTimedAnswers
        || totals.other.latencySamples < MinTimedAnswers) {
        return false;
    }
    const double latency =
        totals.target.latencySeconds / static_cast<double>(totals.target.latencySamples);
    const double baseline =
        totals.other.latencySeconds / static_cast<double>(totals.other.latencySamples);
    return latency > SlowFactor * baseline;
}

} // namespace

RolloutTotals rolloutTotals(const ServiceId &service, const VersionId &target,
                            const std::map<InstanceId, EvidenceCollected> &collected)
{
    std::map<InstanceId, const RolloutEvidence *> newest;
    const auto answers = [](const RolloutEvidence &evidence) {
        return evidence.targetCounts.good + evidence.targetCounts.bad + evidence.otherCounts.good
            + evidence.otherCounts.bad;
    };
    for (const auto &[collector, bundle] : collected) {
        for (const RolloutEvidence &evidence : bundle.evidence) {
            if (evidence.service != service || evidence.target != target) {
                continue;
            }
            const RolloutEvidence *&newestOfDaemon = newest[evidence.daemon];
            if (newestOfDaemon == nullptr || answers(evidence) > answers(*newestOfDaemon)) {
                newestOfDaemon = &evidence;
            }
        }
    }
    RolloutTotals totals;
    for (const auto &[daemon, evidence] : newest) {
        totals.target = totals.target + evidence->targetCounts;
        totals.other = totals.other + evidence->otherCounts;
        totals.lowestStage =
            totals.daemons == 0 ? evidence->stage : std::min(totals.lowestStage, evidence->stage);
        ++totals.daemons;
    }
    return totals;
}

bool targetIsBad(const RolloutTotals &totals)
{
    return failsMoreOften(totals) || takesLonger(totals);
}

std::optional<RolloutStage> RolloutController::decide(const RolloutOrdered &order,
                                                      TimePoint orderedAt,
                                                      const std::optional<RolloutStage> &current,
                                                      const RolloutTotals &totals, int readyTargets,
                                                      TimePoint now)
{
    RolloutStage stage = current && current->target == order.target
        ? *current
        : RolloutStage{order.service, order.target};
    ObservedStage &observed = m_observedStages[order.service];
    if (observed.target != order.target) {
        observed = {order.target, stage.stage, now};
    }
    if (observed.stage != stage.stage) {
        observed.stage = stage.stage;
        observed.stageSince = now;
    }
    if (stage.condemned || stage.complete) {
        return std::nullopt;
    }
    if (stage.stage > 0 && targetIsBad(totals)) {
        stage.condemned = true;
        return stage;
    }
    const double elapsedSeconds = std::chrono::duration<double>(now - orderedAt).count();
    const double totalSeconds = std::chrono::duration<double>(order.finishWithin).count();
    const double elapsedFraction = totalSeconds > 0 ? elapsedSeconds / totalSeconds : 1;
    if (now - observed.stageSince < MinStageDuration && stage.stage > 0) {
        return std::nullopt;
    }
    if (stage.stage < LastRolloutStage) {
        const int next = stage.stage + 1;
        if (readyTargets == 0 || elapsedFraction < StageStartFractions[next]) {
            return std::nullopt;
        }
        if (next == FirstRolloutStage) {
            if (now - orderedAt < FirstStageDelay) {
                return std::nullopt;
            }
            const auto answers = static_cast<double>(totals.other.good + totals.other.bad);
            stage.firstShare = firstRolloutShare(answers / elapsedSeconds);
        }
        stage.stage = next;
        return stage;
    }
    const bool idle = totals.other.inFlight <= 0 && totals.lowestStage >= LastRolloutStage;
    if ((elapsedFraction >= EarliestEndFraction && idle) || elapsedFraction >= LatestEndFraction) {
        stage.complete = true;
        return stage;
    }
    return std::nullopt;
}

} // namespace lycheearch
