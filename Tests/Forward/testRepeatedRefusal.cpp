#include "Forward/ForwardHarness.h"

// A server that writes an earlier answer once more, on a connection that carries the next request.

using namespace lycheearch;

namespace {

using Connection = ScriptedBackend::Connection;

constexpr int Servers = 2;

/// The request id of the first call, which every server declines, and of the second, which runs.
const std::string First = "q1";
const std::string Second = "q2";

Route route()
{
    Route newRoute;
    newRoute.kind = RouteKind::NonIdempotent;
    newRoute.timeout = 800ms;
    newRoute.latencyObjective = 200ms;
    newRoute.maxAttempts = Servers;
    return newRoute;
}

std::string request(const std::string &id)
{
    return "POST /a/x HTTP/1.1\r\nHost: h.example\r\n"
        + (id.empty() ? "" : "Attempt-Id: " + id + "\r\n")
        + "Api-Key: k\r\nTime-Budget-Ms: 2000\r\nConnection: close\r\nContent-Length: 1\r\n\r\nb";
}

/// Servers that decline the first request on a connection, and that answer the second one there
/// with \p repeated and then, if it runs to its end, with its own answer.
struct RepeatingServers
{
    explicit RepeatingServers(const std::string &repeated, bool answers = true)
    {
        harness.publishRoute(route());
        for (int i = 0; i < Servers; ++i) {
            harness.addBackend([=, this](Connection &connection, const std::string &received) {
                if (received.find("Attempt-Id: " + Second) == std::string::npos) {
                    connection.send(
                        ForwardHarness::response(503, "Not-Executed: 1\r\n", "full", First));
                    return;
                }
                ++runs;
                connection.send(repeated);
                if (answers) {
                    harness.loop.at(harness.loop.now() + 50ms, [&connection](TimePoint) {
                        connection.send(ForwardHarness::response(200, "Response-Seal: seal\r\n",
                                                                 "hello", Second));
                    });
                }
            });
        }
        cr_assert_eq(ForwardHarness::statusOf(harness.call(request(First))), 503);
    }

    int callSecond() { return ForwardHarness::statusOf(harness.call(request(Second))); }

    ForwardHarness harness;
    int runs = 0;
};

std::string withoutId(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// Guards against a refusal of an earlier request that is taken for one of the request under way.
Test(repeatedRefusal, a_refusal_that_names_no_request_is_no_proof_on_a_used_connection,
     .timeout = 20)
{
    for (const std::string &refusal :
         {withoutId(503, "Not-Executed: 1\r\n", "full"), withoutId(421, "", "no"),
          withoutId(429, "Not-Executed: 1\r\n", "slow"),
          ForwardHarness::response(503, "Not-Executed: 1\r\n", "full", First)}) {
        RepeatingServers servers(refusal);
        cr_expect_eq(servers.callSecond(), 200, "%s", refusal.c_str());
        cr_expect_eq(servers.runs, 1, "%d runs after %s", servers.runs, refusal.c_str());
    }
}

// Guards against a promise that the request was not executed, by such a refusal.
Test(repeatedRefusal, a_request_that_runs_behind_such_a_refusal_is_not_refused, .timeout = 20)
{
    RepeatingServers servers(withoutId(503, "Not-Executed: 1\r\n", "full"), false);
    cr_expect_eq(servers.callSecond(), 504);
    cr_expect_eq(servers.runs, 1);
}

// Guards against an answer to an earlier request that the next caller gets.
Test(repeatedRefusal, a_success_that_names_no_request_is_not_passed_on_from_a_used_connection,
     .timeout = 20)
{
    RepeatingServers servers(withoutId(200, "Response-Seal: old\r\n", "another caller's"));
    const std::string response = servers.harness.call(request(Second));
    cr_expect_eq(ForwardHarness::statusOf(response), 200);
    cr_expect_eq(response.find("another caller's"), std::string::npos);
}

// On a new connection, an answer can only belong to the request that is under way.
Test(repeatedRefusal, a_refusal_on_a_new_connection_is_proof, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route());
    for (int i = 0; i < Servers; ++i) {
        harness.addBackend([](Connection &connection, const std::string &) {
            connection.send(withoutId(503, "Not-Executed: 1\r\n", "full"));
        });
    }
    cr_expect_eq(ForwardHarness::statusOf(harness.call(request(First))), 503);
    cr_expect_eq(harness.received(), Servers);
}

// Without an id in the request nothing tells whose an answer is, so it gets a connection of its
// own.
Test(repeatedRefusal, a_request_without_an_id_uses_no_kept_connection, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route());
    ScriptedBackend &backend = harness.addBackend([](Connection &connection, const std::string &) {
        connection.send(withoutId(200, "Response-Seal: seal\r\n", "hello"));
    });
    for (std::size_t calls = 1; calls <= 3; ++calls) {
        cr_expect_eq(ForwardHarness::statusOf(harness.call(request(""))), 200);
        cr_expect_eq(backend.connections.size(), calls);
    }
}

// A success that is marked as not executed contradicts itself, so it proves nothing.
Test(repeatedRefusal, a_success_that_is_marked_as_not_executed_is_no_proof, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route());
    for (int i = 0; i < Servers; ++i) {
        harness.addBackend([](Connection &connection, const std::string &) {
            connection.send(ForwardHarness::response(200, "Not-Executed: 1\r\n", "x", First));
        });
    }
    cr_expect_eq(ForwardHarness::statusOf(harness.call(request(First))), 502);
    cr_expect_eq(harness.received(), 1);
}
