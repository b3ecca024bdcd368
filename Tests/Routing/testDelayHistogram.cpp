#include <criterion/criterion.h>

#include <cmath>
#include <random>

#include "Routing/DelayHistogram.h"
#include "Routing/RolloutCounts.h"
#include "Routing/VersionComparison.h"

using namespace lycheearch;

namespace {

const ServiceId Service("s");
const VersionId Old("v1");
const VersionId New("v2");

Duration drawDelay(double medianSeconds, std::mt19937 &random)
{
    constexpr double logDeviation = 0.8;
    std::lognormal_distribution<double> delay(std::log(medianSeconds), logDeviation);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(delay(random)));
}

/// Sends \p requests evenly over \p span to a version whose answers begin after the drawn delays,
/// and returns what is known at its end. No answer has ended by then.
void sendRequests(RolloutCounts &counts, const VersionId &version, int requests,
                  double medianSeconds, Duration span, TimePoint start, std::mt19937 &random)
{
    for (int i = 0; i < requests; ++i) {
        const TimePoint sentAt = start + span * i / requests;
        const RolloutCounts::Ticket ticket = counts.onSent(Service, version, sentAt);
        const TimePoint begunAt = sentAt + drawDelay(medianSeconds, random);
        if (begunAt < start + span) {
            counts.onAnswerBegun(ticket, begunAt);
        }
    }
}

VersionVerdict verdictOf(double slowFactor, int requests, unsigned seed)
{
    std::mt19937 random(seed);
    RolloutCounts counts;
    FleetView view;
    view.apply({Offset(0), RolloutOrdered{Service, New, 15s}}, TimePoint());
    constexpr double median = 0.15;
    const TimePoint start = TimePoint() + 100s;
    counts.followOrders(view, start);
    sendRequests(counts, Old, 300, median, 4s, start, random);
    sendRequests(counts, New, requests, median * slowFactor, 4s, start, random);
    const RolloutEvidence evidence = counts.evidence(InstanceId("d"), view, start + 4s).front();
    cr_assert_eq(evidence.targetCounts.answers(), 0);
    return compareVersions(evidence.targetCounts, evidence.otherCounts);
}

} // namespace

Test(versionComparison, a_slow_version_is_found_before_any_of_its_answers_has_ended)
{
    int found = 0;
    int doubted = 0;
    for (unsigned seed = 1; seed <= 200; ++seed) {
        const VersionVerdict verdict = verdictOf(8, 20, seed);
        found += verdict == VersionVerdict::Worse ? 1 : 0;
        doubted += verdict != VersionVerdict::Unremarkable ? 1 : 0;
    }
    cr_expect(doubted >= 198, "%d of 200", doubted);
    cr_expect(found >= 120, "%d of 200", found);
}

Test(versionComparison, a_version_with_empty_caches_is_not_doubted_before_its_answers_end)
{
    int doubted = 0;
    for (unsigned seed = 1; seed <= 1000; ++seed) {
        doubted +=
            verdictOf(2, 5 + static_cast<int>(seed % 40), seed) != VersionVerdict::Unremarkable ? 1
                                                                                                : 0;
    }
    cr_expect(doubted <= 10, "%d of 1000", doubted);
}

Test(rolloutCounts, a_stream_in_flight_counts_with_its_gaps_so_far)
{
    RolloutCounts counts;
    FleetView view;
    const TimePoint start = TimePoint() + 100s;
    view.apply({Offset(0), RolloutOrdered{Service, New, 15s}}, start);
    counts.followOrders(view, start);
    const RolloutCounts::Ticket ticket = counts.onSent(Service, New, start);
    counts.onAnswerBegun(ticket, start + 1s);
    counts.onEvents(ticket, 2, start + 1s);
    counts.onEvents(ticket, 2, start + 2s);
    const auto later = counts.evidence(InstanceId("d"), view, start + 5s).front().targetCounts;
    cr_expect_eq(later.latencySamples, 1);
    cr_expect(std::abs(later.logLatencySum - std::log(1.0)) < 1e-6);
    counts.onEnded(ticket, true, Duration(500ms), start + 5s);
    const auto ended = counts.evidence(InstanceId("d"), view, start + 6s).front().targetCounts;
    cr_expect_eq(ended.latencySamples, 1);
    cr_expect_eq(ended.answerDelays.total(), 1);
}

Test(rolloutCounts, a_request_without_an_answer_counts_with_its_wait)
{
    RolloutCounts counts;
    FleetView view;
    const TimePoint start = TimePoint() + 100s;
    view.apply({Offset(0), RolloutOrdered{Service, New, 15s}}, start);
    counts.followOrders(view, start);
    const RolloutCounts::Ticket ticket = counts.onSent(Service, New, start);
    const auto early = counts.evidence(InstanceId("d"), view, start + 1s).front().targetCounts;
    const auto late = counts.evidence(InstanceId("d"), view, start + 4s).front().targetCounts;
    cr_expect_eq(early.answerDelays.total(), 1);
    cr_expect(early.answerDelays != late.answerDelays);
    counts.onEnded(ticket, std::nullopt, std::nullopt, start + 4s);
    const auto ended = counts.evidence(InstanceId("d"), view, start + 9s).front().targetCounts;
    cr_expect(ended.answerDelays == late.answerDelays);
}

// The answers of versions that ran before a rollout was ordered hid those that followed.
Test(rolloutCounts, outcomes_before_an_order_are_no_evidence)
{
    RolloutCounts counts;
    FleetView view;
    const TimePoint start = TimePoint() + 100s;
    for (int i = 0; i < 100; ++i) {
        counts.onEnded(counts.onSent(Service, New, start), true, Duration(20ms), start);
        counts.onEnded(counts.onSent(Service, Old, start), false, std::nullopt, start);
    }
    const RolloutCounts::Ticket underWay = counts.onSent(Service, Old, start);
    view.apply({Offset(0), RolloutOrdered{Service, New, 15s}}, start + 1s);
    cr_expect(counts.evidence(InstanceId("d"), view, start + 1s).empty());
    counts.followOrders(view, start + 2s);
    const RolloutEvidence before = counts.evidence(InstanceId("d"), view, start + 2s).front();
    cr_expect_eq(before.targetCounts.answers() + before.otherCounts.answers(), 0);
    cr_expect_eq(before.sent(), 0);
    cr_expect_eq(before.otherCounts.inFlight, 1);
    cr_expect(before.countedAfter == Duration(1s));

    counts.onEnded(underWay, true, Duration(20ms), start + 3s);
    counts.onEnded(counts.onSent(Service, New, start + 3s), false, std::nullopt, start + 3s);
    counts.followOrders(view, start + 4s);
    const RolloutEvidence after = counts.evidence(InstanceId("d"), view, start + 4s).front();
    cr_expect_eq(after.otherCounts.good, 1);
    cr_expect_eq(after.otherCounts.inFlight, 0);
    cr_expect_eq(after.targetCounts.bad, 1);
    cr_expect(after.countedAfter == Duration(1s));
}

Test(rolloutCounts, an_order_that_is_given_again_is_counted_anew)
{
    RolloutCounts counts;
    FleetView view;
    const TimePoint start = TimePoint() + 100s;
    view.apply({Offset(0), RolloutOrdered{Service, New, 15s}}, start);
    counts.followOrders(view, start);
    counts.onEnded(counts.onSent(Service, New, start), false, std::nullopt, start);
    view.apply({Offset(1), RolloutWithdrawn{Service}}, start + 1s);
    counts.followOrders(view, start + 1s);
    view.apply({Offset(2), RolloutOrdered{Service, New, 15s}}, start + 60s);
    counts.followOrders(view, start + 60s);
    const RolloutEvidence evidence = counts.evidence(InstanceId("d"), view, start + 60s).front();
    cr_expect_eq(evidence.targetCounts.answers(), 0);
    cr_expect(evidence.countedAfter == Duration::zero());
}

Test(versionComparison, a_version_that_never_answers_is_found_by_its_waits)
{
    constexpr Duration timeLimit = 400ms;
    RolloutCounts counts;
    FleetView view;
    const TimePoint start = TimePoint() + 100s;
    view.apply({Offset(0), RolloutOrdered{Service, New, 15s}}, start);
    counts.followOrders(view, start);
    for (int i = 0; i < 100; ++i) {
        const RolloutCounts::Ticket ticket = counts.onSent(Service, Old, start);
        counts.onAnswerBegun(ticket, start + 20ms);
        counts.onEnded(ticket, true, Duration(20ms), start + 20ms);
    }
    for (int i = 0; i < 6; ++i) {
        const RolloutCounts::Ticket ticket = counts.onSent(Service, New, start);
        counts.onEnded(ticket, std::nullopt, std::nullopt, start + timeLimit);
    }
    const RolloutEvidence evidence = counts.evidence(InstanceId("d"), view, start + 1s).front();
    cr_expect(compareVersions(evidence.targetCounts, evidence.otherCounts)
              == VersionVerdict::Worse);
}
