#include <criterion/criterion.h>

#include <cmath>
#include <functional>
#include <random>

#include "Routing/RolloutController.h"
#include "Routing/RolloutCounts.h"
#include "Routing/VersionComparison.h"

using namespace lycheearch;

namespace {

const TimePoint Start = TimePoint() + 100s;
const ServiceId Service("s");
const VersionId Old("v1");
const VersionId New("v2");
constexpr double ExposeShare = 0.15;
constexpr double ExposeSlack = 30;
const RolloutOrdered Order{Service, New, 24s};

RolloutTotals totals(std::int64_t good, std::int64_t bad, std::int64_t otherGood,
                     std::int64_t otherBad)
{
    RolloutTotals result;
    result.target.good = good;
    result.target.bad = bad;
    result.other.good = otherGood;
    result.other.bad = otherBad;
    result.target.sent = good + bad;
    result.other.sent = otherGood + otherBad;
    result.lowestStage = LastRolloutStage;
    result.daemons = 1;
    result.counted = {{result.sent(), Duration::zero()}};
    return result;
}

/// Simulates a rollout at 50 requests per second to a service whose new version has ten servers.
struct RolloutSimulation
{
    /// Probability that a request of the new version fails, given the elapsed fraction of the
    /// rollout's time and the load of the server that runs it: 1 is the load that it carries once
    /// all requests use the new version.
    using FailureRate = std::function<double(double elapsedFraction, double serverLoad)>;

    explicit RolloutSimulation(FailureRate rate, unsigned seed = 5)
        : failureRate(std::move(rate))
        , random(seed)
    {
    }

    void run(TimePoint from, TimePoint until, RolloutController &controller)
    {
        std::uniform_real_distribution<double> unit(0, 1);
        FleetView view;
        view.apply({Offset(0), order}, Start);
        const auto period = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(1 / requestsPerSecond));
        const double orderSeconds = std::chrono::duration<double>(order.finishWithin).count();
        for (TimePoint now = from; now < until; now += period) {
            if (stage) {
                view.apply({Offset(1), *stage}, now);
            }
            const VersionRule rule = rolloutRule(Service, {random() << 32 | random(), inSessions},
                                                 view, exposeShare, now);
            ++requests;
            const double elapsedFraction =
                std::chrono::duration<double>(now - Start).count() / orderSeconds;
            const double share = stage ? rolloutShare(*stage, inSessions, exposeShare) : 0;
            if (rule.allows(New)) {
                ++exposed;
                ++counts.target.sent;
                const double serversInUse = std::max(1.0, std::floor(rule.serverShare * Servers));
                const double serverLoad = share * Servers / serversInUse;
                const bool bad = unit(random) < failureRate(elapsedFraction, serverLoad);
                bad ? ++counts.target.bad : ++counts.target.good;
            } else {
                ++counts.other.sent;
                unit(random) < otherFailureRate ? ++counts.other.bad : ++counts.other.good;
            }
            counts.lowestStage = stage ? stage->stage : 0;
            counts.daemons = 1;
            counts.counted = {{counts.sent(), Duration::zero()}};
            if (now - reportedAt >= reportPeriod) {
                reportedCounts = counts;
                reportedAt = now;
            }
            const auto next = controller.decide(order, Start, stage, reportedCounts, 3, now);
            dueAt = !next ? TimePoint() : dueAt == TimePoint() ? now : dueAt;
            if (next && now - dueAt >= stepDelay) {
                dueAt = TimePoint();
                stage = next;
                if ((stage->complete || stage->condemned) && endedAt == TimePoint()) {
                    endedAt = now;
                }
            }
        }
    }

    static constexpr double Servers = 10;

    FailureRate failureRate;
    std::mt19937_64 random;
    RolloutOrdered order = Order;
    double exposeShare = ExposeShare;
    double requestsPerSecond = 50;
    double otherFailureRate = 0.02; ///< Of the old version.
    bool inSessions = true; ///< Whether the requests belong to sessions.
    Duration reportPeriod = 2s; ///< Between two reports of the evidence.
    TimePoint reportedAt;
    std::optional<RolloutStage> stage;
    RolloutTotals counts;
    RolloutTotals reportedCounts;
    Duration stepDelay{}; ///< From a decision until it takes effect.
    TimePoint dueAt;
    int requests = 0;
    int exposed = 0;
    TimePoint endedAt;
};

} // namespace

Test(rolloutController, a_good_version_completes_in_time)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        RolloutSimulation simulation([](double, double) { return 0.02; }, seed);
        RolloutController controller({ExposeShare, ExposeSlack});
        simulation.run(Start, Start + 24s, controller);
        cr_assert(simulation.stage && simulation.stage->complete, "seed %u", seed);
        cr_expect(simulation.endedAt < Start + 23s);
    }
}

Test(rolloutController, a_good_version_completes_in_time_if_the_first_controller_has_crashed)
{
    constexpr Duration readLag = 700ms;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        RolloutSimulation simulation([](double, double) { return 0.02; }, seed);
        simulation.stepDelay = RolloutController::StandbyDelay + readLag;
        RolloutController controller({ExposeShare, ExposeSlack});
        simulation.run(Start, Start + 24s, controller);
        cr_assert(simulation.stage && simulation.stage->complete, "seed %u", seed);
    }
}

Test(rolloutController, a_bad_version_is_stopped_within_its_exposure_limit)
{
    const std::vector<std::pair<const char *, RolloutSimulation::FailureRate>> failureModes = {
        {"at once", [](double, double) { return 0.5; }},
        {"later",
         [](double elapsedFraction, double) { return elapsedFraction > 0.3 ? 0.5 : 0.02; }},
        {"under load", [](double, double serverLoad) { return serverLoad >= 0.8 ? 0.5 : 0.02; }},
        {"on one route", [](double, double) { return 0.25 * 0.6; }},
    };
    for (const auto &[name, rate] : failureModes) {
        for (unsigned seed = 1; seed <= 20; ++seed) {
            RolloutSimulation simulation(rate, seed);
            RolloutController controller({ExposeShare, ExposeSlack});
            simulation.run(Start, Start + 24s, controller);
            cr_expect(simulation.stage && simulation.stage->condemned
                          && !simulation.stage->complete,
                      "%s, seed %u", name, seed);
            cr_expect(simulation.exposed <= ExposeShare * simulation.requests + ExposeSlack,
                      "%s, seed %u: %d of %d", name, seed, simulation.exposed, simulation.requests);
        }
    }
}

// A version that failed in four of ten requests was completed where requests are few: the canary
// got too few of them for a verdict. A chance of one in a hundred is accepted.
Test(rolloutController, a_bad_version_of_a_service_with_few_requests_is_stopped)
{
    int completed = 0;
    constexpr unsigned rollouts = 200;
    for (unsigned seed = 1; seed <= rollouts; ++seed) {
        RolloutSimulation simulation([](double, double) { return 0.43; }, seed);
        simulation.order.finishWithin = 16s;
        simulation.requestsPerSecond = 18;
        simulation.otherFailureRate = 0.05;
        simulation.inSessions = false;
        simulation.reportPeriod = 1100ms;
        simulation.stepDelay = 400ms;
        RolloutController controller({ExposeShare, ExposeSlack});
        simulation.run(Start, Start + 16s, controller);
        completed += simulation.stage && simulation.stage->condemned ? 0 : 1;
        cr_expect(simulation.exposed <= ExposeShare * simulation.requests + ExposeSlack,
                  "seed %u: %d of %d", seed, simulation.exposed, simulation.requests);
    }
    cr_expect(completed <= static_cast<int>(rollouts / 100), "%d of %u", completed, rollouts);
}

// review/6: a standby that had seen slow changes completed a second before the deadline, on less
// evidence than there was time for.
Test(rolloutController, slow_changes_do_not_bring_the_final_state_forward)
{
    for (const Duration stepDelay : {Duration(100ms), Duration(800ms), Duration(1700ms)}) {
        RolloutSimulation simulation([](double, double) { return 0.02; });
        simulation.stepDelay = stepDelay;
        RolloutController controller({ExposeShare, ExposeSlack});
        simulation.run(Start, Start + 24s, controller);
        simulation.stage->complete = false;
        simulation.stage->stage = LastRolloutStage;
        simulation.counts.other.inFlight = 1;
        TimePoint decidedAt;
        for (TimePoint now = Start + 20s; now < Start + 24s; now += 20ms) {
            const auto next =
                controller.decide(Order, Start, simulation.stage, simulation.counts, 3, now);
            decidedAt = next && decidedAt == TimePoint() ? now : decidedAt;
        }
        cr_expect(decidedAt >= Start + 23s, "changes take %lld ms: decided after %lld ms",
                  static_cast<long long>(toMilliseconds(stepDelay)),
                  static_cast<long long>(toMilliseconds(decidedAt - Start)));
    }
}

Test(rolloutController, a_bad_version_whose_outcomes_are_good_stays_within_its_exposure_limit)
{
    for (const double requestsPerSecond : {10.0, 36.0, 52.0, 120.0, 500.0}) {
        for (const Duration finishWithin : {Duration(16s), Duration(24s), Duration(60s)}) {
            for (const double exposeShare : {0.12, 0.15}) {
                RolloutSimulation simulation([](double, double) { return 0.0; });
                simulation.requestsPerSecond = requestsPerSecond;
                simulation.order.finishWithin = finishWithin;
                simulation.exposeShare = exposeShare;
                simulation.stepDelay = 400ms;
                RolloutController controller({exposeShare, ExposeSlack});
                simulation.run(Start, Start + finishWithin, controller);
                cr_expect(simulation.exposed <= exposeShare * simulation.requests + ExposeSlack,
                          "%g requests per second, %g: %d of %d", requestsPerSecond, exposeShare,
                          simulation.exposed, simulation.requests);
                cr_expect(simulation.stage->complete, "%g requests per second", requestsPerSecond);
            }
        }
    }
}

Test(rolloutController, a_burst_at_the_end_does_not_move_the_last_stage_forward)
{
    RolloutController controller({ExposeShare, ExposeSlack});
    const RolloutStage canary{Service, New, LastRolloutStage - 1, 0.02, false, false};
    const TimePoint late = Start + 21s;
    for (TimePoint now = Start; now <= late; now += 400ms) {
        const auto seconds = std::chrono::duration<double>(now - Start).count();
        const bool burst = now > Start + 18s;
        const double answers = 50 * seconds + (burst ? 150 * (seconds - 18) : 0);
        const auto next = controller.decide(
            Order, Start, canary, totals(60, 0, static_cast<std::int64_t>(answers), 0), 3, now);
        cr_expect_not(next.has_value(), "at %g s", seconds);
    }
}

Test(rolloutController, a_suspicious_version_does_not_enter_the_last_stage)
{
    RolloutController controller({ExposeShare, ExposeSlack});
    const RolloutStage canary{Service, New, LastRolloutStage - 1, 0.02, false, false};
    for (TimePoint now = Start; now < Start + 23s; now += 400ms) {
        cr_expect_not(
            controller.decide(Order, Start, canary, totals(12, 3, 900, 2), 3, now).has_value());
    }
    const auto next =
        controller.decide(Order, Start, canary, totals(200, 3, 1800, 9), 3, Start + 23300ms);
    cr_expect(next && next->stage == LastRolloutStage);
}

Test(rolloutController, a_version_that_is_suspicious_at_the_deadline_is_condemned)
{
    const RolloutStage canary{Service, New, LastRolloutStage - 1, 0.02, false, false};
    for (Duration late = Duration::zero(); late < 10s; late += 400ms) {
        RolloutController controller({ExposeShare, ExposeSlack});
        const auto next = controller.decide(Order, Start, canary, totals(12, 3, 900, 2), 3,
                                            Start + Order.finishWithin - 500ms + late);
        cr_assert(next);
        cr_expect(next->condemned);
        cr_expect_eq(next->stage, canary.stage);
    }
}

// Signs of failures that were too weak to stop a version before its deadline let it complete there.
Test(rolloutController, a_version_that_is_doubtful_at_the_deadline_is_condemned)
{
    const RolloutTotals doubtful = totals(22, 5, 285, 15);
    cr_assert(compareVersions(doubtful.target, doubtful.other) == VersionVerdict::Doubtful);
    const RolloutStage last{Service, New, LastRolloutStage, 0.05, false, false, 0.1};
    RolloutController atDeadline({ExposeShare, ExposeSlack});
    const auto next =
        atDeadline.decide(Order, Start, last, doubtful, 3, Start + Order.finishWithin - 500ms);
    cr_assert(next);
    cr_expect(next->condemned);
    cr_expect_not(next->complete);

    // Earlier, it goes on and gets more requests.
    const RolloutStage canary{Service, New, LastRolloutStage - 1, 0.05, false, false, 0.1};
    RolloutController before({ExposeShare, ExposeSlack});
    cr_expect_not(before.decide(Order, Start, canary, doubtful, 3, Start + 15s).has_value());
    const auto later = before.decide(Order, Start, canary, doubtful, 3, Start + 22900ms);
    cr_assert(later);
    cr_expect_eq(later->stage, LastRolloutStage);
    cr_expect_not(later->condemned);
}

Test(rolloutController, another_controller_resumes_from_the_stored_stage)
{
    RolloutSimulation simulation([](double, double) { return 0.02; });
    RolloutController first({ExposeShare, ExposeSlack});
    simulation.run(Start, Start + 15s, first);
    cr_assert(simulation.stage && simulation.stage->stage >= 2);
    RolloutController second({ExposeShare, ExposeSlack});
    const auto next =
        second.decide(Order, Start, simulation.stage, simulation.reportedCounts, 3, Start + 15s);
    cr_expect(!next || (next->stage >= simulation.stage->stage && !next->complete));
    // The second controller measures the time from the order, not from its own start.
    simulation.run(Start + 15s, Start + 24s, second);
    cr_expect(simulation.stage->complete);
}

Test(rolloutController, no_stage_begins_without_servers_of_the_new_version)
{
    RolloutController controller({ExposeShare, ExposeSlack});
    for (TimePoint now = Start; now < Start + 30s; now += 100ms) {
        cr_expect_not(controller.decide(Order, Start, std::nullopt, {}, 0, now).has_value());
    }
}

Test(rolloutController, a_finished_rollout_does_not_change)
{
    RolloutController controller({ExposeShare, ExposeSlack});
    const RolloutStage condemned{Service, New, 3, 0.05, true, false};
    const RolloutStage complete{Service, New, 4, 0.05, false, true};
    cr_expect_not(
        controller.decide(Order, Start, condemned, totals(100, 0, 100, 0), 3, Start + 20s));
    cr_expect_not(
        controller.decide(Order, Start, complete, totals(0, 100, 100, 0), 3, Start + 20s));
}

Test(rolloutController, it_waits_for_in_flight_requests_of_the_old_version)
{
    RolloutController controller({ExposeShare, ExposeSlack});
    const RolloutStage moved{Service, New, LastRolloutStage, 0.05, false, false};
    RolloutTotals busy = totals(100, 0, 100, 0);
    busy.other.inFlight = 3;
    controller.decide(Order, Start, moved, busy, 3, Start);
    cr_expect_not(controller.decide(Order, Start, moved, busy, 3, Start + 20s).has_value());
    busy.other.inFlight = 0;
    cr_expect(controller.decide(Order, Start, moved, busy, 3, Start + 20s)->complete);
}

Test(rolloutController, evidence_of_a_daemon_counts_once_regardless_of_its_collector)
{
    RolloutEvidence early{InstanceId("d"),    Service, New, 1, {5, 0, 0, 0, 0, 1},
                          {10, 0, 0, 0, 0, 2}};
    RolloutEvidence late{InstanceId("d"),        Service, New, 4, {9, 1, 0, 0, 0, 0, 10},
                         {12, 0, 0, 0, 0, 0, 12}};
    std::map<InstanceId, EvidenceCollected> collected;
    collected[InstanceId("x")] = {InstanceId("x"), {early}, {}};
    collected[InstanceId("y")] = {InstanceId("y"), {late}, {}};
    const RolloutTotals sum = rolloutTotals(Service, New, collected);
    cr_expect_eq(sum.daemons, 1);
    cr_expect_eq(sum.target.good, 9);
    cr_expect_eq(sum.other.inFlight, 0);
    cr_expect_eq(sum.lowestStage, 4);
}

Test(rolloutRule, a_session_never_returns_to_the_old_version)
{
    FleetView view;
    view.apply({Offset(0), Order}, Start);
    std::vector<bool> moved(500, false);
    for (int stage = 0; stage <= LastRolloutStage; ++stage) {
        view.apply({Offset(1), RolloutStage{Service, New, stage, 0.05, false, false}}, Start);
        for (std::size_t i = 0; i < moved.size(); ++i) {
            const std::uint64_t hash = (i * 0x9e3779b97f4a7c15ULL);
            const bool now = rolloutRule(Service, {hash}, view, ExposeShare, Start).allows(New);
            cr_expect(now || !moved[i]);
            moved[i] = now;
        }
    }
    cr_expect(std::all_of(moved.begin(), moved.end(), [](bool one) { return one; }));
}

Test(rolloutRule, a_reported_final_state_applies_without_a_stored_stage)
{
    FleetView view;
    view.apply({Offset(0), Order}, Start);
    cr_expect_not(rolloutRule(Service, {0}, view, ExposeShare, Start).allows(New));
    view.apply({Offset(0), RolloutReported{Service, New, RolloutState::Complete}}, Start);
    cr_expect(rolloutRule(Service, {~0ULL}, view, ExposeShare, Start).allows(New));
    cr_expect_not(rolloutRule(Service, {~0ULL}, view, ExposeShare, Start).allows(Old));
}

Test(rolloutRule, the_share_of_the_first_stage_is_limited)
{
    cr_expect_float_eq(rolloutShare({Service, New, FirstRolloutStage, 0.05}, true, 0.15), 0.05,
                       1e-9);
    cr_expect_float_eq(rolloutShare({Service, New, FirstRolloutStage, 0.05}, true, 0.03), 0.01,
                       1e-9);
    cr_expect_float_eq(rolloutShare({Service, New, LastRolloutStage, 0.05}, true, 0.03), 1.0, 1e-9);
}

Test(rolloutRule, few_active_sessions_change_their_version_when_a_rollout_begins)
{
    // A tenth of the requests are followed by another one of their session after GapSeconds.
    constexpr double FollowedShare = 0.1;
    constexpr double GapSeconds = 3;
    for (const double requestsPerSecond : {10.0, 50.0, 190.0, 480.0, 7100.0}) {
        const double share = firstRolloutShare(requestsPerSecond);
        const double activeSessions = requestsPerSecond * FollowedShare * GapSeconds;
        cr_expect(share * activeSessions < 0.8, "%g requests per second: %g sessions",
                  requestsPerSecond, share * activeSessions);
        // There are still enough requests for evidence within 10 s, unless the traffic is very low.
        cr_expect(share * requestsPerSecond * 10 >= 4, "%g requests per second", requestsPerSecond);
    }
}

Test(rolloutController, the_first_share_follows_from_the_traffic)
{
    RolloutController controller({ExposeShare, ExposeSlack});
    RolloutTotals busy = totals(0, 0, 1440, 0);
    cr_expect_not(controller.decide(Order, Start, std::nullopt, busy, 3, Start + 1s).has_value());
    const auto first = controller.decide(Order, Start, std::nullopt, busy, 3, Start + 3s);
    cr_assert(first && first->stage == FirstRolloutStage);
    cr_expect(first->firstShare < 0.003 && first->firstShare > 0.001, "%g", first->firstShare);
}

Test(rolloutController, a_slow_version_is_not_completed_though_few_of_its_answers_have_ended)
{
    // The requests of the target wait, while those of the other version begin soon. There are too
    // few to be sure.
    RolloutController controller({ExposeShare, ExposeSlack});
    RolloutTotals slow = totals(1, 0, 500, 0);
    for (int i = 0; i < 500; ++i) {
        slow.other.answerDelays.addObserved(std::chrono::milliseconds(100 + i));
    }
    slow.target.sent = 6;
    for (int i = 0; i < 6; ++i) {
        slow.target.answerDelays.addWaiting(1200ms);
    }
    cr_assert(compareVersions(slow.target, slow.other) == VersionVerdict::Suspicious);
    const RolloutStage last{Service, New, LastRolloutStage, 0.01, false, false, 0.1};
    const TimePoint atDeadline = Start + Order.finishWithin - 300ms;
    const auto next = controller.decide(Order, Start, last, slow, 3, atDeadline);
    cr_assert(next);
    cr_expect(next->condemned);
    cr_expect_not(next->complete);
}

// Daemons of an older build count since their own start. Their counts must not pass for the traffic
// since the order.
Test(rolloutController, daemons_that_count_from_their_start_do_not_raise_the_request_rate)
{
    const auto evidenceOf = [](const char *daemon, std::int64_t sent,
                               std::optional<Duration> countedAfter) {
        RolloutEvidence evidence{InstanceId(daemon), Service, New};
        evidence.otherCounts.sent = sent;
        evidence.otherCounts.good = sent;
        evidence.countedAfter = countedAfter;
        return evidence;
    };
    std::map<InstanceId, EvidenceCollected> collected;
    collected[InstanceId("x")] = {InstanceId("x"),
                                  {evidenceOf("old", 60'000, std::nullopt),
                                   evidenceOf("new", 16, Duration::zero()),
                                   evidenceOf("restarted", 8, Duration(2s))},
                                  {}};
    const RolloutTotals sum = rolloutTotals(Service, New, collected);
    cr_expect_float_eq(sum.requestRate(4s), 1.5 * (4 + 4), 1e-9, "%g", sum.requestRate(4s));
    cr_expect_eq(RolloutTotals().requestRate(4s), 0);
}
