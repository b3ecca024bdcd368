#include "Forward/ForwardScripts.h"
#include "Forward/LongTurn.h"

// What arrives from servers and callers while a handler of the event loop takes long.

using namespace lycheearch;

namespace {

constexpr Duration ConnectTimeout = 400ms; ///< Of the harness.

std::string completeResponse()
{
    return ForwardHarness::sealedResponse(200, "hello");
}

/// A daemon whose caller has sent a request, and a server that leaves it unanswered.
struct LongTurnHarness : ForwardHarness
{
    explicit LongTurnHarness(const Route &published, std::size_t servers = 1)
    {
        publishRoute(published);
        const auto hold = [this](Connection &connection, const std::string &) {
            (held == nullptr ? held : later) = &connection;
        };
        for (std::size_t i = 0; i < servers; ++i) {
            addBackend(hold);
        }
        startServer();
        caller = std::make_unique<KernelCaller>(firstPort);
        runLoop(50ms);
    }

    /// Takes the loop for \p duration. The answer of the server arrives at the beginning.
    void answerDuringTurn(Duration duration, const std::string &answer = completeResponse())
    {
        cr_assert_not_null(held);
        LongTurn turn(loop, duration, [&] { held->send(answer); });
        turn.begin();
        runLoop(duration + 100ms);
    }

    std::unique_ptr<KernelCaller> caller;
    Connection *held = nullptr; ///< That received the first request.
    Connection *later = nullptr;
};

void switchHedgingOn(ForwardHarness &harness)
{
    HedgeSettings settings;
    settings.maxShare = 0.5;
    settings.reserveShare = 0.1;
    harness.hedging.setSettings(settings);
    harness.hedging.setServersShareHosts([](const ServiceId &) { return true; });
    const TimePoint now = harness.loop.now();
    LatencyTracker &latencies = harness.hedging.latencies();
    for (int i = 0; i < 50; ++i) {
        harness.hedging.onRequest(ServiceId("s"), now);
        latencies.onAnswered(latencies.onSent({"r", ServiceId("s"), "", 0}, 1s, now - 5ms), now);
        harness.retries.onRequest(ServiceId("s"), now);
    }
}

/// A route on which only a late request is sent again.
Route lateRoute()
{
    Route newRoute = route(RouteKind::Idempotent, 3);
    newRoute.timeout = 5s;
    newRoute.latencyObjective = 400ms;
    return newRoute;
}

} // namespace

Test(longTurns, a_server_that_accepted_during_a_long_turn_is_not_taken_for_silent, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::NonIdempotent));
    harness.addBackend(serve);
    harness.startServer();
    const KernelCaller caller(harness.firstPort);
    harness.runLoop(50ms);
    LongTurn turn(harness.loop, ConnectTimeout + 50ms, [] {});
    caller.send(keptRequest()); // The handler of the caller connects, and the long turn follows.
    turn.begin();
    harness.runLoop(ConnectTimeout + 150ms);
    cr_expect_eq(statusOf(caller.receive()), 200);
}

Test(longTurns, an_answer_that_arrived_before_the_deadline_is_delivered, .timeout = 20)
{
    LongTurnHarness harness(route(RouteKind::NonIdempotent));
    harness.caller->send(keptRequest());
    harness.runLoop();
    harness.answerDuringTurn(900ms);
    cr_expect_eq(statusOf(harness.caller->receive()), 200);
}

Test(longTurns, a_request_whose_answer_has_arrived_is_not_sent_again_for_a_stall, .timeout = 20)
{
    LongTurnHarness harness(route(RouteKind::Idempotent), 2);
    harness.caller->send(keptRequest());
    harness.runLoop();
    harness.answerDuringTurn(400ms);
    cr_expect_eq(statusOf(harness.caller->receive()), 200);
    cr_expect_eq(harness.received(), 1);
}

Test(longTurns, a_stream_whose_first_event_has_arrived_is_not_run_again_for_a_stall, .timeout = 20)
{
    LongTurnHarness harness(route(RouteKind::EventStream), 2);
    harness.caller->send(keptRequest());
    harness.runLoop();
    harness.answerDuringTurn(400ms,
                             streamHead() + serializeChunk(event(1)) + std::string(LastChunk));
    cr_expect(contains(harness.caller->receive(), event(1)));
    cr_expect_eq(harness.received(), 1);
}

Test(longTurns, a_request_whose_answer_has_arrived_is_not_moved_as_late, .timeout = 20)
{
    LongTurnHarness harness(lateRoute(), 3);
    switchHedgingOn(harness);
    harness.caller->send(keptRequest());
    harness.runLoop(50ms);
    harness.answerDuringTurn(600ms);
    cr_expect_eq(statusOf(harness.caller->receive()), 200);
    cr_expect_eq(harness.received(), 1);
}

Test(longTurns, a_body_that_arrived_during_a_long_turn_gets_no_408, .timeout = 20)
{
    ForwardHarness harness;
    harness.limits.idleTimeout = 300ms;
    harness.publishRoute(route(RouteKind::NonIdempotent));
    harness.addBackend(serve);
    harness.startServer();
    const KernelCaller caller(harness.firstPort);
    const std::string request = keptRequest();
    caller.send(request.substr(0, request.size() - 1));
    harness.runLoop();
    LongTurn turn(harness.loop, 400ms, [&] { caller.send(request.substr(request.size() - 1)); });
    turn.begin();
    harness.runLoop(500ms);
    cr_expect_eq(statusOf(caller.receive()), 200);
}
