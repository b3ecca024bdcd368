#include "Forward/ForwardScripts.h"

// Requests that arrive while a daemon stops, and those that are in flight when it has to exit.

using namespace lycheearch;

namespace {

/// A daemon whose stop began before the request arrives.
struct StoppingHarness : ForwardHarness
{
    StoppingHarness(RouteKind kind, Duration timeout, Duration grace, Duration sinceStop)
    {
        Route stopped = route(kind, kind == RouteKind::NonIdempotent ? 1 : 2);
        stopped.timeout = timeout;
        stopped.latencyObjective = timeout;
        publishRoute(stopped);
        stop.begin(grace, loop.now() - sinceStop);
    }
};

void ignore(Connection &, const std::string &) { }

} // namespace

// A request that may not be repeated was taken while the daemon stopped, and cut off without an
// answer when it had to exit.
Test(plannedStop, a_request_that_may_outlast_the_stop_and_not_be_repeated_is_refused, .timeout = 20)
{
    StoppingHarness harness(RouteKind::NonIdempotent, 2s, 4s, 2400ms);
    harness.addBackend(serve);
    const std::string response = harness.call(ForwardHarness::request("POST", "", "b"));
    cr_expect_eq(statusOf(response), 503);
    cr_expect(contains(response, "Retry-After"));
    cr_expect_eq(harness.received(), 0);
}

Test(plannedStop, a_request_that_fits_into_the_stop_is_served, .timeout = 20)
{
    for (const RouteKind kind : {RouteKind::NonIdempotent, RouteKind::Idempotent}) {
        StoppingHarness harness(kind, 1s, 8s, 4s);
        harness.addBackend(serve);
        cr_expect_eq(statusOf(harness.call(ForwardHarness::request("POST", "", "b"))), 200);
    }
}

Test(plannedStop, early_in_the_stop_a_request_that_may_be_repeated_is_served, .timeout = 20)
{
    StoppingHarness harness(RouteKind::Idempotent, 10s, 8s, 1s);
    harness.addBackend(serve);
    cr_expect_eq(
        statusOf(harness.call(ForwardHarness::request("GET", "Time-Budget-Ms: 10000\r\n"))), 200);
}

Test(plannedStop, a_request_in_flight_at_the_end_gets_an_answer, .timeout = 20)
{
    for (const RouteKind kind : {RouteKind::NonIdempotent, RouteKind::Idempotent}) {
        StoppingHarness harness(kind, 1s, 8s, 1s);
        harness.addBackend(ignore);
        const std::string response =
            harness.call(ForwardHarness::request("POST", "", "b"), 3s,
                         [&] { harness.server->terminateAll(harness.loop.now()); });
        cr_expect_eq(statusOf(response), 502, "%s", response.c_str());
        cr_expect(harness.callerEnd == ForwardHarness::ConnectionEnd::Closed);
    }
}

Test(plannedStop, a_stream_in_flight_at_the_end_does_not_end_as_whole, .timeout = 20)
{
    StoppingHarness harness(RouteKind::EventStream, 1s, 8s, 1s);
    harness.addBackend([](Connection &connection, const std::string &) {
        connection.send(streamHead() + serializeChunk(event(1)));
    });
    const std::string response = harness.call(ForwardHarness::request("GET"), 3s, [&] {
        harness.server->terminateAll(harness.loop.now());
    });
    cr_expect_eq(statusOf(response), 200);
    cr_expect(contains(response, "data: d1"));
    cr_expect_not(contains(response, "\r\n0\r\n\r\n"));
    cr_expect(harness.callerEnd != ForwardHarness::ConnectionEnd::Open);
}
