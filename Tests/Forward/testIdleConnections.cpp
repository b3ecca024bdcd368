#include "Forward/ForwardScripts.h"
#include "Forward/LongTurn.h"

// Connections of callers that rest between two requests, and how the daemon closes them.

using namespace lycheearch;

namespace {

constexpr Duration IdleTimeout = 300ms;

/// A daemon that closes connections after IdleTimeout at rest, and a server that answers.
struct IdleHarness : ForwardHarness
{
    explicit IdleHarness(RouteKind kind = RouteKind::NonIdempotent)
    {
        setIdleTimeout(IdleTimeout, kind);
        addBackend(serve);
        startServer();
    }
    void setIdleTimeout(Duration timeout, RouteKind kind = RouteKind::NonIdempotent)
    {
        limits.idleTimeout = timeout;
        publishRoute(route(kind));
    }
};

} // namespace

Test(idleConnections, a_request_that_arrived_during_a_long_turn_is_answered, .timeout = 20)
{
    IdleHarness harness;
    const KernelCaller caller(harness.firstPort);
    LongTurn turn(harness.loop, IdleTimeout, [&] { caller.send(keptRequest()); });
    harness.runLoop(IdleTimeout / 2);
    turn.begin();
    harness.runLoop(IdleTimeout * 2);
    cr_expect_eq(statusOf(caller.receive()), 200);
}

Test(idleConnections, a_request_that_crosses_the_close_is_left_unread, .timeout = 20)
{
    IdleHarness harness;
    const KernelCaller caller(harness.firstPort);
    caller.send(keptRequest());
    harness.runLoop();
    cr_expect_eq(statusOf(caller.receive()), 200);
    harness.runLoop(IdleTimeout);
    caller.send(keptRequest());
    harness.runLoop();
    cr_expect(caller.gone());
    cr_expect_eq(harness.received(), 1);
}

Test(idleConnections, a_request_that_arrived_before_the_idle_connections_are_closed_is_answered,
     .timeout = 20)
{
    IdleHarness harness;
    const KernelCaller caller(harness.firstPort);
    LongTurn turn(harness.loop, 50ms, [&] {
        caller.send(keptRequest());
        harness.server->closeIdle(harness.loop.now());
    });
    harness.runLoop(IdleTimeout / 2);
    turn.begin();
    harness.runLoop();
    cr_expect_eq(statusOf(caller.receive()), 200);
}

Test(idleConnections, a_connection_at_rest_gets_the_longer_limit_of_a_new_configuration,
     .timeout = 20)
{
    IdleHarness harness;
    const KernelCaller caller(harness.firstPort);
    harness.runLoop(IdleTimeout / 2);
    harness.setIdleTimeout(IdleTimeout * 4);
    harness.runLoop(IdleTimeout);
    caller.send(keptRequest());
    harness.runLoop();
    cr_expect_eq(statusOf(caller.receive()), 200);
}

Test(idleConnections, a_connection_at_rest_keeps_its_limit_when_a_configuration_shortens_it,
     .timeout = 20)
{
    IdleHarness harness;
    const KernelCaller caller(harness.firstPort);
    harness.runLoop(IdleTimeout / 4);
    harness.setIdleTimeout(IdleTimeout / 4);
    harness.runLoop(IdleTimeout / 2);
    caller.send(keptRequest());
    harness.runLoop();
    cr_expect_eq(statusOf(caller.receive()), 200);
}

Test(idleConnections, an_idle_connection_is_closed_at_its_limit, .timeout = 20)
{
    IdleHarness harness;
    const KernelCaller caller(harness.firstPort);
    harness.runLoop(IdleTimeout / 2);
    cr_expect_eq(harness.server->connections(), 1);
    harness.runLoop(IdleTimeout);
    cr_expect_eq(harness.server->connections(), 0);
}

Test(idleConnections, responses_announce_a_rest_that_ends_before_the_idle_timeout, .timeout = 20)
{
    for (const RouteKind kind : {RouteKind::NonIdempotent, RouteKind::EventStream}) {
        IdleHarness harness(kind);
        harness.setIdleTimeout(15s, kind);
        const KernelCaller caller(harness.firstPort);
        caller.send(keptRequest());
        harness.runLoop();
        cr_expect(contains(caller.receive(), "Keep-Alive: timeout=12\r\n"));
        cr_expect_not(
            contains(harness.call(ForwardHarness::request("POST", "", "b")), "Keep-Alive"));
    }
}
