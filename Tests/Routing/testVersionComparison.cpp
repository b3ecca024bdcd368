#include <criterion/criterion.h>

#include <cmath>
#include <random>

#include "Routing/RolloutCounts.h"
#include "Routing/VersionComparison.h"

using namespace lycheearch;

namespace {

VersionCounts answers(std::int64_t good, std::int64_t bad)
{
    VersionCounts counts;
    counts.good = good;
    counts.bad = bad;
    return counts;
}

/// Counts of good answers with the given latencies, as a daemon counts them.
VersionCounts timedAnswers(const std::vector<Duration> &latencies)
{
    const ServiceId service("s");
    const VersionId version("v");
    RolloutCounts counts;
    FleetView view;
    view.apply({Offset(0), RolloutOrdered{service, version, 24s}}, TimePoint());
    counts.followOrders(view, TimePoint());
    for (const Duration latency : latencies) {
        const RolloutCounts::Ticket ticket = counts.onSent(service, version, TimePoint());
        counts.onEnded(ticket, true, latency, TimePoint());
    }
    return counts.evidence(InstanceId("d"), view, TimePoint()).front().targetCounts;
}

std::vector<Duration> drawnLatencies(int count, double medianSeconds, std::mt19937 &random)
{
    constexpr double logDeviation = 0.6;
    std::lognormal_distribution<double> latency(std::log(medianSeconds), logDeviation);
    std::vector<Duration> drawn;
    for (int i = 0; i < count; ++i) {
        drawn.push_back(
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(latency(random))));
    }
    return drawn;
}

bool isWorse(const VersionCounts &target, const VersionCounts &other)
{
    return compareVersions(target, other) == VersionVerdict::Worse;
}

} // namespace

Test(versionComparison, failures_of_both_versions_do_not_condemn_the_target)
{
    cr_expect_not(isWorse(answers(30, 20), answers(60, 40)));
    cr_expect(isWorse(answers(30, 20), answers(100, 1)));
    cr_expect_not(isWorse(answers(0, 3), answers(100, 0)));
}

Test(versionComparison, a_version_that_takes_several_times_as_long_is_worse)
{
    const VersionCounts other = timedAnswers(std::vector<Duration>(100, 50ms));
    cr_expect(isWorse(timedAnswers(std::vector<Duration>(20, 400ms)), other));
    cr_expect_not(isWorse(timedAnswers(std::vector<Duration>(20, 100ms)), other));
}

Test(versionComparison, a_slow_version_is_found_after_few_answers)
{
    std::mt19937 random(7);
    int found = 0;
    constexpr int trials = 200;
    for (int i = 0; i < trials; ++i) {
        const VersionCounts other = timedAnswers(drawnLatencies(400, 0.035, random));
        found += isWorse(timedAnswers(drawnLatencies(8, 0.035 * 5, random)), other) ? 1 : 0;
    }
    cr_expect(found > trials * 9 / 10, "%d of %d", found, trials);
}

Test(versionComparison, a_version_with_empty_caches_is_not_worse)
{
    std::mt19937 random(8);
    for (int i = 0; i < 1000; ++i) {
        const VersionCounts other = timedAnswers(drawnLatencies(200, 0.035, random));
        for (const int answered : {4, 10, 40, 200}) {
            const auto latencies = drawnLatencies(answered, 0.035 * 1.3, random);
            cr_expect_not(isWorse(timedAnswers(latencies), other), "trial %d, %d answers", i,
                          answered);
        }
    }
}

Test(versionComparison, few_failures_are_suspicious)
{
    cr_expect(compareVersions(answers(12, 3), answers(900, 2)) == VersionVerdict::Suspicious);
    cr_expect(compareVersions(answers(40, 1), answers(900, 2)) == VersionVerdict::Unremarkable);
    cr_expect(compareVersions(answers(12, 3), answers(750, 150)) == VersionVerdict::Unremarkable);
}

Test(versionComparison, nothing_is_known_without_answers)
{
    cr_expect(compareVersions(VersionCounts(), VersionCounts()) == VersionVerdict::Unremarkable);
}
