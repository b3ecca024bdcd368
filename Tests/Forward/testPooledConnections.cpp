#include "Forward/ForwardScripts.h"
#include "Forward/LongTurn.h"

// Connections to servers and to other daemons that are reused for a second request, after something
// has arrived on them that the event loop has not yet handled.

using namespace lycheearch;

namespace {

/// What a server does to a connection at rest.
struct RestEvent
{
    const char *name;
    std::function<void(Connection &connection)> act;
};

std::vector<RestEvent> restEvents()
{
    return {{"end", [](Connection &connection) { connection.close(); }},
            {"reset", [](Connection &connection) { connection.socket.abort(); }},
            {"stray bytes", [](Connection &connection) {
                 connection.send(ForwardHarness::response(408, "", "", ""));
             }}};
}

std::string relayedResponse()
{
    return ForwardHarness::response(
        200,
        "Response-Seal: seal\r\nLycheearch-Relay-Attempts: 1\r\nLycheearch-Relay-Backend: b0\r\n",
        "from the peer");
}

/// Two requests, one after the other. In the turn of the loop that reads the second, and before it,
/// \p act takes place on the connection at rest. Returns the answer to the second request.
std::string secondAnswer(ForwardHarness &harness, ScriptedBackend &server, const RestEvent &event)
{
    harness.startServer();
    const KernelCaller caller(harness.firstPort);
    caller.send(keptRequest());
    harness.runLoop();
    cr_assert_eq(statusOf(caller.receive()), 200, "%s", event.name);
    // The turn and the request are due in the same batch, and the connection at rest behind them.
    LongTurn turn(harness.loop, 20ms, [&] { event.act(*server.connections.back()); });
    turn.begin();
    caller.send(keptRequest());
    harness.runLoop(200ms);
    return caller.receive();
}

} // namespace

Test(pooledConnections, a_request_is_not_sent_to_a_server_on_a_connection_that_has_ended,
     .timeout = 20)
{
    for (const RestEvent &event : restEvents()) {
        ForwardHarness harness;
        harness.publishRoute(route(RouteKind::NonIdempotent));
        ScriptedBackend &server = harness.addBackend(serve);
        cr_expect_eq(statusOf(secondAnswer(harness, server, event)), 200, "%s", event.name);
        cr_expect_eq(server.connections.size(), 2, "%s", event.name);
    }
}

Test(pooledConnections, a_request_is_not_passed_on_over_a_connection_that_has_ended, .timeout = 20)
{
    for (const RestEvent &event : restEvents()) {
        ForwardHarness harness;
        harness.publishRoute(route(RouteKind::NonIdempotent));
        harness.addBackend(serve).stopListening();
        ScriptedBackend &peer = harness.addPeer([](Connection &connection, const std::string &) {
            connection.send(relayedResponse());
        });
        cr_expect_eq(statusOf(secondAnswer(harness, peer, event)), 200, "%s", event.name);
        cr_expect_eq(peer.connections.size(), 2, "%s", event.name);
    }
}

Test(pooledConnections, a_connection_at_rest_is_reused, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::NonIdempotent));
    ScriptedBackend &server = harness.addBackend(serve);
    const RestEvent none{"nothing", [](Connection &) {}};
    cr_expect_eq(statusOf(secondAnswer(harness, server, none)), 200);
    cr_expect_eq(server.connections.size(), 1);
}
