#include <criterion/criterion.h>

#include <cmath>
#include <limits>

#include "Routing/ServerSpeeds.h"

using namespace lycheearch;

namespace {

const TimePoint Start = TimePoint() + 100s;
const ServiceId Engines("engines");
const ServerRun Slow{InstanceId("slow"), 1000};
const ServerRun Usual{InstanceId("usual"), 1000};
constexpr double NoNumber = std::numeric_limits<double>::quiet_NaN();

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

/// Lets a daemon see as many gaps of both servers, one of which takes twice as long.
TimePoint observe(ServerSpeeds &speeds, int gaps, TimePoint now = Start)
{
    for (int i = 0; i < gaps; ++i) {
        now += 50ms;
        speeds.onGap(Slow, "large", 100ms, now);
        speeds.onGap(Usual, "large", 50ms, now);
    }
    return now;
}

SpeedReport report(double observed, double expected, std::optional<double> host = std::nullopt,
                   Duration age = 10ms)
{
    return {Slow, observed, expected, host, age};
}

} // namespace

Test(serverSpeeds, an_unknown_server_is_usual)
{
    const ServerSpeeds speeds;
    cr_expect_eq(speeds.slowness(Slow, Start), 1);
    cr_expect_eq(speeds.lastingSlowness(Slow, Start), 1);
    cr_expect_not(speeds.usedFor(Engines, Start));
}

Test(serverSpeeds, a_slow_server_is_found_by_its_events)
{
    ServerSpeeds speeds;
    const TimePoint now = observe(speeds, 100);
    const double ratio = speeds.slowness(Slow, now) / speeds.slowness(Usual, now);
    cr_expect(ratio > 1.7 && ratio <= 2.05, "%g", ratio);
}

Test(serverSpeeds, a_slow_server_is_found_by_the_beginning_of_its_answers)
{
    ServerSpeeds speeds;
    TimePoint now = Start;
    for (int i = 0; i < 60; ++i) {
        now += 100ms;
        speeds.onAnswerBegun(Slow, "large", 4'000, 400ms, now);
        speeds.onAnswerBegun(Usual, "large", 4'000, 200ms, now);
        speeds.onAnswerBegun(Usual, "small", 400, 4ms, now);
    }
    const double ratio = speeds.slowness(Slow, now) / speeds.slowness(Usual, now);
    cr_expect(ratio > 1.6 && ratio <= 2.05, "%g", ratio);
}

Test(serverSpeeds, one_stalled_answer_does_not_make_a_server_slow)
{
    ServerSpeeds speeds;
    TimePoint now = Start;
    for (int i = 0; i < 100; ++i) {
        now += 50ms;
        speeds.onGap(Usual, "large", 50ms, now);
    }
    speeds.onGap(Usual, "large", 60s, now);
    cr_expect(speeds.slowness(Usual, now) < 1.15, "%g", speeds.slowness(Usual, now));
}

Test(serverSpeeds, a_slow_moment_of_the_host_is_not_taken_for_a_lasting_one)
{
    ServerSpeeds speeds;
    TimePoint now = Start;
    for (int i = 0; i < 200; ++i) {
        now += 50ms;
        const bool slowMoment = i % 8 == 0;
        speeds.onHostReported(Engines, Slow, slowMoment ? 2.5 : 1, now);
        speeds.onHostReported(Engines, Usual, 1, now);
        speeds.onGap(Slow, "large", slowMoment ? 125ms : 50ms, now);
        speeds.onGap(Usual, "large", 50ms, now);
    }
    const double lasting = speeds.lastingSlowness(Slow, now);
    cr_expect(lasting > 0.93 && lasting < 1.07, "%g", lasting);
}

Test(serverSpeeds, what_a_server_said_about_its_host_decays_to_the_mean)
{
    ServerSpeeds speeds;
    TimePoint now = Start;
    for (int i = 0; i < 100; ++i) {
        now += 100ms;
        speeds.onHostReported(Engines, Slow, i % 5 == 4 ? 2.5 : 1, now);
    }
    cr_expect_float_eq(speeds.slowness(Slow, now), 2.5, 1e-9);
    const double later = speeds.slowness(Slow, now + 350ms);
    cr_expect(later > 1.8 && later < 2, "%g", later);
    const double muchLater = speeds.slowness(Slow, now + 4s);
    cr_expect(muchLater > 1.2 && muchLater < 1.4, "%g", muchLater);
}

Test(serverSpeeds, estimates_are_bounded)
{
    ServerSpeeds speeds;
    speeds.onHostReported(Engines, Slow, 90, Start);
    cr_expect_eq(speeds.slowness(Slow, Start), ServerSpeeds::MaxSlowness);
    speeds.onHostReported(Engines, Slow, 0.01, Start);
    cr_expect_eq(speeds.slowness(Slow, Start), ServerSpeeds::MinSlowness);
}

Test(serverSpeeds, a_server_that_starts_again_loses_its_estimate)
{
    ServerSpeeds speeds;
    const TimePoint now = observe(speeds, 100);
    const ServerRun next{Slow.id, Slow.startedAt + 5000};
    cr_expect_eq(speeds.slowness(next, now), 1);
    speeds.apply(Engines, {next, 0.5, 0.5, std::nullopt, Duration::zero()}, now);
    cr_expect_eq(speeds.slowness(next, now), 1);
    // A late report of the run before changes nothing.
    speeds.apply(Engines, report(8, 1), now);
    cr_expect_eq(speeds.slowness(next, now), 1);
}

Test(serverSpeeds, hostile_reports_change_nothing)
{
    ServerSpeeds speeds;
    SpeedReportSum sum(Duration::zero());
    const TimePoint now = observe(speeds, 100);
    const double before = speeds.slowness(Slow, now);
    const std::vector<SpeedReport> hostile = {report(NoNumber, 1),
                                              report(1, NoNumber),
                                              report(1e300, 1e300),
                                              report(-1, 1),
                                              report(1, -1),
                                              report(9, 1),
                                              report(1, 0),
                                              report(INFINITY, 1),
                                              report(0, 0, NoNumber),
                                              report(0, 0, -1),
                                              report(0, 0, 1e300),
                                              report(0, 0, 0.0),
                                              report(0, 0, INFINITY),
                                              report(0, 0, 2.5, -1ms),
                                              report(0, 0, 2.5, Duration::max()),
                                              report(0, 0, 2.5, Duration::min())};
    for (const SpeedReport &one : hostile) {
        cr_expect_not(isSound(one));
        speeds.apply(Engines, one, now);
    }
    sum.add(hostile, now);
    cr_expect(sum.take(now).empty());
    cr_expect_eq(speeds.slowness(Slow, now), before);
    cr_expect_not(speeds.usedFor(Engines, now));
}

Test(serverSpeeds, each_server_is_published_once_a_second_if_there_is_news)
{
    ServerSpeeds speeds;
    speeds.onHostReported(Engines, Slow, 2.5, Start);
    const auto first = speeds.takeUnpublished(Start + 100ms);
    cr_assert_eq(first.size(), 1);
    cr_expect(first[0].server == Slow && first[0].hostSlowness == 2.5);
    cr_expect_eq(first[0].hostAge.count(), Duration(100ms).count());
    speeds.onHostReported(Engines, Slow, 1, Start + 200ms);
    cr_expect(speeds.takeUnpublished(Start + 300ms).empty());
    cr_expect_eq(speeds.takeUnpublished(Start + 1100ms).size(), 1);
    cr_expect(speeds.takeUnpublished(Start + 5s).empty());
}

Test(serverSpeeds, the_reports_of_many_daemons_make_an_estimate)
{
    // Each daemon sees few answers of each server; none could tell alone.
    ServerSpeeds reader;
    SpeedReportSum sum(1s);
    for (int i = 0; i < 40; ++i) {
        sum.add({report(0.1, 0.05, i == 20 ? std::optional(2.5) : std::nullopt, 20ms)},
                Start + 5ms * i);
    }
    const auto reports = sum.take(Start + 200ms);
    cr_assert_eq(reports.size(), 1);
    cr_expect_float_eq(reports[0].observedSeconds, 4, 1e-9);
    cr_expect_eq(reports[0].hostAge.count(), Duration(120ms).count());
    reader.apply(Engines, reports[0], Start + 210ms);
    cr_expect_float_eq(reader.lastingSlowness(Slow, Start + 210ms), (4 + 1) / (2 + 1.0), 1e-3);
    cr_expect(reader.slowness(Slow, Start + 210ms) > 2);
    cr_expect(reader.usedFor(Engines, Start + 210ms));
    cr_expect(sum.take(Start + 500ms).empty());
    sum.add({report(0.1, 0.05)}, Start + 600ms);
    cr_expect(sum.take(Start + 800ms).empty());
    cr_expect_eq(sum.take(Start + 1300ms).size(), 1);
}

Test(serverSpeeds, a_daemon_without_the_feed_keeps_what_it_sees_and_forgets_the_rest)
{
    ServerSpeeds speeds;
    const ServerRun unseen{InstanceId("unseen"), 1000};
    speeds.apply(Engines, {unseen, 40, 20, std::nullopt, Duration::zero()}, Start);
    const double before = speeds.slowness(unseen, Start);
    TimePoint now = Start;
    for (int i = 0; i < 60; ++i) {
        now = observe(speeds, 20, now);
        now += 1s;
    }
    const double ratio = speeds.slowness(Slow, now) / speeds.slowness(Usual, now);
    cr_expect(ratio > 1.7, "%g", ratio);
    cr_expect(before > 1.9, "%g", before);
    cr_expect(speeds.slowness(unseen, now) < 1.4, "%g", speeds.slowness(unseen, now));
}

Test(serverSpeeds, a_server_that_becomes_slow_is_told_once)
{
    ServerSpeeds speeds;
    int found = 0;
    int ended = 0;
    const auto step = [&](double factor, TimePoint now) {
        for (int i = 0; i < 20; ++i) {
            speeds.onGap(Usual, "large", 50ms, now);
        }
        speeds.onGap(Slow, "large", scaled(50ms, factor), now);
        const SpeedChange change = speeds.takeChange(Slow, now);
        found += change == SpeedChange::FoundSlow ? 1 : 0;
        ended += change == SpeedChange::NoLongerSlow ? 1 : 0;
    };
    TimePoint now = Start;
    for (int i = 0; i < 600; ++i) {
        step(3, now += 50ms);
    }
    cr_expect_eq(found, 1);
    cr_expect_eq(ended, 0);
    for (int i = 0; i < 2400; ++i) {
        step(1, now += 50ms);
    }
    cr_expect_eq(found, 1);
    cr_expect_eq(ended, 1);
}

Test(serverSpeeds, speeds_are_used_only_while_servers_report_their_hosts)
{
    ServerSpeeds speeds;
    speeds.onHostReported(Engines, Slow, 1, Start);
    cr_expect(speeds.usedFor(Engines, Start + 10s));
    cr_expect_not(speeds.usedFor(ServiceId("other"), Start + 10s));
    cr_expect_not(speeds.usedFor(Engines, Start + 70s));
}
