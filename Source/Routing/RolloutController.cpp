#include "Routing/RolloutController.h"

#include <algorithm>

#include "Routing/RolloutCounts.h"
#include "Routing/VersionComparison.h"

namespace lycheearch {

namespace {

/// Fractions of a rollout's time from which each stage before the last may begin.
constexpr double StageStartFractions[] = {0.0, 0.0, 0.52, 0.57};
/// Fraction of a rollout's time from which it completes as soon as no request is in flight on the
/// old versions.
constexpr double EarliestEndFraction = 0.76;
/// The last stage begins at most this fraction of a rollout's time before the deadline.
constexpr double MaxLastStageFraction = 0.34;
/// Shortest time between two stages, so that the outcomes of each stage are evaluated.
constexpr Duration MinStageDuration = 1200ms;

/// Delay of the first stage, in which the daemons report their requests. The share of the first
/// stage depends on the request rate.
constexpr Duration FirstStageDelay = 3s;

/// Parts of the permitted share and slack that are planned for. The rest allows for late reports
/// and for changes of the request rate.
constexpr double PlannedPart = 0.9;
constexpr double PlannedSlackPart = 0.5;
/// Time that the daemons need at least to apply the last stage.
constexpr Duration MinLastStageDuration = 400ms;
/// The final state is decided this time before the deadline, so that it is stored in time.
constexpr Duration CompletionReserve = 600ms;

/// Age of the oldest sample from which the present request rate is computed.
constexpr Duration RateWindow = 3s;
/// Shorter times count as this one when a rate is computed from them.
constexpr Duration MinRateSpan = 1200ms;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Fraction of a rollout's time that has elapsed; 1 if it has no time.
double elapsedFraction(const RolloutOrdered &order, Duration elapsed)
{
    return order.finishWithin > Duration::zero() ? seconds(elapsed) / seconds(order.finishWithin)
                                                 : 1;
}

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
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
        if (evidence->countedAfter) {
            totals.counted.push_back({evidence->sent(), *evidence->countedAfter});
        }
        totals.lowestStage =
            totals.daemons == 0 ? evidence->stage : std::min(totals.lowestStage, evidence->stage);
        totals.daemonsAtLastStage += evidence->stage >= LastRolloutStage ? 1 : 0;
        ++totals.daemons;
    }
    return totals;
}

double RolloutTotals::requestRate(Duration age) const
{
    if (counted.empty()) {
        return 0;
    }
    double rate = 0;
    for (const CountedRequests &daemon : counted) {
        const Duration span = std::max(MinRateSpan, age - daemon.countedAfter);
        rate += static_cast<double>(daemon.requests) / seconds(span);
    }
    return rate * daemons / static_cast<double>(counted.size());
}

RolloutController::RolloutController(ExposureLimit limit)
    : m_limit(limit)
{
}

std::optional<RolloutStage> RolloutController::decide(const RolloutOrdered &order,
                                                      TimePoint orderedAt,
                                                      const std::optional<RolloutStage> &current,
                                                      const RolloutTotals &totals, int readyTargets,
                                                      TimePoint now)
{
    const RolloutStage stage = current && current->target == order.target
        ? *current
        : RolloutStage{order.service, order.target};
    Observation &observation = observe(order, stage, totals, now);
    if (stage.condemned || stage.complete) {
        return std::nullopt;
    }
    auto next = nextStage(order, orderedAt, stage, totals, readyTargets, observation, now);
    if (!next) {
        observation.changeDueSince = TimePoint();
    } else if (observation.changeDueSince == TimePoint()) {
        observation.changeDueSince = now;
    }
    return next;
}

RolloutController::Observation &RolloutController::observe(const RolloutOrdered &order,
                                                           const RolloutStage &stage,
                                                           const RolloutTotals &totals,
                                                           TimePoint now)
{
    Observation &observation = m_observations[order.service];
    if (observation.target != order.target) {
        observation = Observation();
        observation.target = order.target;
    }
    if (observation.stage != stage.stage) {
        if (observation.changeDueSince != TimePoint()) {
            observation.changeDelay = now - observation.changeDueSince;
        }
        observation.changeDueSince = TimePoint();
        observation.stage = stage.stage;
        observation.stageSince = now;
    }
    observation.recent.push_back({now, totals.sent()});
    while (now - observation.recent.front().at > RateWindow) {
        observation.recent.pop_front();
    }
    return observation;
}

std::optional<RolloutStage>
RolloutController::nextStage(const RolloutOrdered &order, TimePoint orderedAt, RolloutStage stage,
                             const RolloutTotals &totals, int readyTargets,
                             const Observation &observation, TimePoint now) const
{
    const VersionVerdict verdict = compareVersions(totals.target, totals.other);
    const Duration elapsed = now - orderedAt;
    // At the deadline, a good version that is condemned costs another order; a bad one that
    // completes costs the service.
    const bool doubted = verdict != VersionVerdict::Unremarkable && deadlineNear(order, elapsed);
    if (stage.stage > 0 && (verdict == VersionVerdict::Worse || doubted)) {
        stage.condemned = true;
        return stage;
    }
    if (stage.stage == LastRolloutStage) {
        stage.complete = completionDue(order, totals, elapsed);
        return stage.complete ? std::optional(stage) : std::nullopt;
    }
    const bool evaluated = stage.stage == 0 || now - observation.stageSince >= MinStageDuration;
    const int next = stage.stage + 1;
    const bool due = next == LastRolloutStage
        ? verdict != VersionVerdict::Suspicious && lastStageDue(order, totals, elapsed, observation)
        : earlyStageDue(next, order, elapsed);
    if (!evaluated || readyTargets == 0 || !due) {
        return std::nullopt;
    }
    if (next == FirstRolloutStage) {
        const double rate = totals.requestRate(elapsed);
        stage.firstShare = firstRolloutShare(rate);
        stage.canaryShare = canaryShare(rate, order.finishWithin, m_limit.share);
    }
    stage.stage = next;
    return stage;
}

bool RolloutController::earlyStageDue(int stage, const RolloutOrdered &order, Duration elapsed)
{
    const bool reported = stage > FirstRolloutStage || elapsed >= FirstStageDelay;
    return reported && elapsedFraction(order, elapsed) >= StageStartFractions[stage];
}

bool RolloutController::deadlineNear(const RolloutOrdered &order, Duration elapsed)
{
    return order.finishWithin - elapsed <= CompletionReserve;
}

bool RolloutController::completionDue(const RolloutOrdered &order, const RolloutTotals &totals,
                                      Duration elapsed)
{
    if (deadlineNear(order, elapsed)) {
        return true;
    }
    const bool idle = totals.other.inFlight <= 0 && totals.lowestStage >= LastRolloutStage;
    return idle && elapsedFraction(order, elapsed) >= EarliestEndFraction;
}

bool RolloutController::lastStageDue(const RolloutOrdered &order, const RolloutTotals &totals,
                                     Duration elapsed, const Observation &observation) const
{
    const Duration remaining = order.finishWithin - elapsed;
    // The last stage must take effect, and evidence of it arrive before the final state.
    const Duration needed = 2 * observation.changeDelay + MinLastStageDuration + CompletionReserve;
    const Duration longest = fromSeconds(MaxLastStageFraction * seconds(order.finishWithin));
    const Duration permitted =
        std::min(permittedLead(order, totals, elapsed, observation), longest);
    return remaining <= std::max(needed, permitted);
}

Duration RolloutController::permittedLead(const RolloutOrdered &order, const RolloutTotals &totals,
                                          Duration elapsed, const Observation &observation) const
{
    const RequestSample &oldest = observation.recent.front();
    const RequestSample &latest = observation.recent.back();
    const Duration period = std::max(MinRateSpan, latest.at - oldest.at);
    const double recentRate =
        static_cast<double>(latest.requests - oldest.requests) / seconds(period);
    const double meanRate = totals.requestRate(elapsed);
    const double presentRate = std::max(meanRate, recentRate);
    if (presentRate <= 0) {
        return fromSeconds(PlannedPart * m_limit.share * seconds(order.finishWithin));
    }
    const double expected = meanRate * seconds(order.finishWithin);
    const double planned =
        PlannedPart * m_limit.share * expected + PlannedSlackPart * m_limit.slack;
    const double left = planned - static_cast<double>(totals.target.sent);
    return fromSeconds(std::max(0.0, left) / presentRate);
}

} // namespace lycheearch
