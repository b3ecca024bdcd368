#include "Forward/ForwardScripts.h"

// Streams that a server never begins are sent to another server once they are later than usual,
// if hedging.max_share is set and the servers report how slow their hosts are.

using namespace lycheearch;

namespace {

constexpr Duration Objective = 1s;

Route streamRoute(int attempts = 3)
{
    Route newRoute = route(RouteKind::EventStream, attempts);
    newRoute.timeout = 2s;
    newRoute.latencyObjective = Objective;
    newRoute.gapObjective = Objective;
    return newRoute;
}

void stream(Connection &connection, const std::string &)
{
    connection.send(streamHead() + serializeChunk(event(1)) + std::string(LastChunk));
}

void hang(Connection &, const std::string &) { }

void switchOn(ForwardHarness &harness)
{
    HedgeSettings settings;
    settings.maxShare = 0.5;
    settings.reserveShare = 0.1;
    harness.hedging.setSettings(settings);
    harness.hedging.setServersShareHosts([](const ServiceId &) { return true; });
    // Enough requests that the limit on moves never depends on when the test runs.
    for (int i = 0; i < 50; ++i) {
        harness.hedging.onRequest(ServiceId("s"), harness.loop.now());
    }
}

/// A fleet of which one server hangs and the others answer at once. Answers are known to take \p
/// usual.
struct LateFleet
{
    explicit LateFleet(Duration usual, const Route &published = streamRoute())
    {
        harness.publishRoute(published);
        hanging = &harness.addBackend(hang);
        harness.addBackend(stream);
        harness.addBackend(stream);
        const TimePoint now = harness.loop.now();
        for (int i = 0; i < 50; ++i) {
            LatencyTracker &latencies = harness.hedging.latencies();
            latencies.onAnswered(latencies.onSent({"r", ServiceId("s"), "", 0}, 1s, now - usual),
                                 now);
            harness.retries.onRequest(ServiceId("s"), now);
        }
    }

    /// Calls until a request is sent to the hanging server, and returns that response.
    std::string callHanging(const std::string &request = ForwardHarness::request("POST"))
    {
        std::string response;
        const std::size_t before = hanging->requests.size();
        for (int i = 0; i < 40 && hanging->requests.size() == before; ++i) {
            const TimePoint begin = harness.loop.now();
            response = harness.call(request);
            took = harness.loop.now() - begin;
        }
        cr_assert(hanging->requests.size() > before);
        return response;
    }

    ForwardHarness harness;
    ScriptedBackend *hanging = nullptr;
    Duration took{};
};

} // namespace

Test(lateStreams, a_stream_that_a_server_never_begins_is_begun_by_another_within_the_objective)
{
    LateFleet fleet(20ms);
    switchOn(fleet.harness);
    const std::string response = fleet.callHanging();
    cr_expect(contains(response, "data: d1"), "%s", response.c_str());
    cr_expect(fleet.took < Objective / 2, "%lld ms",
              static_cast<long long>(toMilliseconds(fleet.took)));
    cr_expect_eq(fleet.hanging->closed, 1, "the connection of the late attempt is closed");
    cr_expect_eq(fleet.harness.metrics.value("lycheearch_hedge_moves_total"), 1);
}

Test(lateStreams, nothing_changes_without_a_share_or_a_deployment_that_calls_for_it)
{
    for (const bool share : {false, true}) {
        LateFleet fleet(20ms);
        HedgeSettings settings;
        settings.maxShare = share ? 0.5 : 0;
        fleet.harness.hedging.setSettings(settings);
        fleet.harness.hedging.setServersShareHosts(
            [share = share](const ServiceId &) { return !share; });
        fleet.callHanging();
        cr_expect(fleet.took >= 2 * Objective - 100ms, "%lld ms",
                  static_cast<long long>(toMilliseconds(fleet.took)));
    }
}

Test(lateStreams, a_stream_stays_if_streams_usually_take_longer)
{
    LateFleet fleet(900ms);
    switchOn(fleet.harness);
    fleet.callHanging();
    cr_expect(fleet.took > Objective);
}

Test(lateStreams, a_request_that_may_not_be_repeated_is_sent_once)
{
    Route once = streamRoute();
    once.resumable = false;
    LateFleet fleet(20ms, once);
    switchOn(fleet.harness);
    const std::size_t before = fleet.harness.received();
    fleet.callHanging();
    cr_expect_eq(fleet.hanging->requests.size(), 1);
    cr_expect(fleet.took >= 2 * Objective - 100ms);
    cr_expect_eq(fleet.harness.metrics.value("lycheearch_hedge_moves_total"), 0);
    cr_expect(fleet.harness.received() > before);
}

Test(lateStreams, a_stream_stays_if_no_other_server_has_a_free_place)
{
    LateFleet fleet(20ms);
    switchOn(fleet.harness);
    BackendLoads loads;
    loads[InstanceId("b1")].requests = 40;
    loads[InstanceId("b2")].requests = 40;
    fleet.harness.picker.setOtherDaemonsLoads(loads, fleet.harness.loop.now());
    const TimePoint begin = fleet.harness.loop.now();
    fleet.harness.call(ForwardHarness::request("POST"), 700ms);
    cr_expect(fleet.harness.loop.now() - begin >= 600ms);
    cr_expect_eq(fleet.hanging->requests.size(), 1);
    cr_expect_eq(fleet.harness.received(), 1);
}

Test(lateStreams, a_server_that_lets_two_streams_wait_without_an_answer_is_excluded)
{
    LateFleet fleet(20ms);
    switchOn(fleet.harness);
    fleet.callHanging();
    const TimePoint sentAt = fleet.harness.loop.now();
    fleet.callHanging();
    PickRequest request;
    request.service = ServiceId("s");
    for (int i = 0; i < 20; ++i) {
        // As of the time at which the second request was sent, so before the exclusion can expire.
        PickFault fault = PickFault::None;
        const auto pick = fleet.harness.picker.pick(request, fleet.harness.view, sentAt, fault);
        cr_assert(pick.has_value());
        cr_expect(pick->backend != InstanceId(fleet.hanging->id));
    }
}

Test(lateStreams, a_caller_that_leaves_ends_the_attempt_and_nothing_is_sent_after_it)
{
    LateFleet fleet(20ms);
    switchOn(fleet.harness);
    for (auto &backend : fleet.harness.backends) {
        backend->onRequest = hang;
    }
    fleet.harness.call(ForwardHarness::request("POST"), 150ms,
                       [&] { fleet.harness.disconnectCaller(); });
    const std::size_t before = fleet.harness.received();
    fleet.harness.runLoop(1s);
    cr_expect_eq(fleet.harness.received(), before);
}

Test(lateStreams, a_late_stream_counts_once_and_on_the_version_that_answered)
{
    LateFleet fleet(20ms);
    switchOn(fleet.harness);
    FleetView &view = fleet.harness.view;
    const TimePoint now = fleet.harness.loop.now();
    view.apply({Offset(0), RolloutOrdered{ServiceId("s"), VersionId("v2"), 24s}}, now);
    fleet.harness.rollouts.followOrders(view, now);
    fleet.callHanging();
    const VersionCounts counts =
        fleet.harness.rollouts.evidence(InstanceId("self"), view, fleet.harness.loop.now())
            .front()
            .otherCounts;
    cr_expect_eq(counts.good, counts.sent - 1);
    cr_expect_eq(counts.bad, 0);
    cr_expect_eq(counts.inFlight, 0);
}

Test(lateStreams, an_answer_that_is_not_streamed_is_fetched_elsewhere_too)
{
    Route plain = streamRoute();
    plain.kind = RouteKind::Idempotent;
    LateFleet fleet(20ms, plain);
    switchOn(fleet.harness);
    fleet.harness.backends[1]->onRequest = serve;
    fleet.harness.backends[2]->onRequest = serve;
    const std::string response = fleet.callHanging(ForwardHarness::request("GET"));
    cr_expect_eq(statusOf(response), 200);
    cr_expect(fleet.took < Objective / 2);
    cr_expect_eq(fleet.hanging->closed, 1);
}

Test(lateStreams, a_request_is_sent_to_as_many_servers_as_its_route_allows)
{
    LateFleet fleet(20ms, streamRoute(2));
    switchOn(fleet.harness);
    for (auto &backend : fleet.harness.backends) {
        backend->onRequest = hang;
    }
    fleet.harness.call(ForwardHarness::request("POST"));
    cr_expect_eq(fleet.harness.received(), 2);
}
