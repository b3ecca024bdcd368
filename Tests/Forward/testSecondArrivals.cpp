#include "Forward/ForwardScripts.h"

// Each way in which a request comes to reach a server once more is taken from the retry budget.

using namespace lycheearch;

namespace {

constexpr int Servers = 4;
constexpr int Attempts = 3;

/// One way in which an attempt ends, for a request that may be repeated.
struct AttemptEnd
{
    const char *name;
    ScriptedBackend::Script script;
};

ScriptedBackend::Script sendAndClose(const std::string &bytes)
{
    return [bytes](Connection &connection, const std::string &) {
        connection.send(bytes);
        connection.socket.shutdownSending();
    };
}

ScriptedBackend::Script sendAndWait(const std::string &bytes)
{
    return [bytes](Connection &connection, const std::string &) { connection.send(bytes); };
}

std::vector<AttemptEnd> attemptEnds()
{
    const std::string plain = ForwardHarness::sealedResponse(200, "hello");
    const std::string firstEvent = streamHead() + serializeChunk(event(1));
    return {
        {"an error", fail},
        {"a refusal", refuse},
        {"another instance",
         sendAndWait(ForwardHarness::response(421, "Not-Executed: 1\r\n", "x"))},
        {"closed at once", reset},
        {"no answer", [](Connection &, const std::string &) {}},
        {"closed within the body", sendAndClose(plain.substr(0, plain.size() - 2))},
        {"no HTTP", sendAndWait("no answer at all\r\n\r\n")},
        {"without seal", sendAndWait(ForwardHarness::response(200, "", "hello"))},
        {"another request's answer", sendAndClose(ForwardHarness::response(200, "", "x", "q2"))},
        {"a stream closed after its first event", sendAndClose(firstEvent)},
        {"a stream silent after its first event", sendAndWait(firstEvent)},
        {"a stream with a piece missing", sendAndWait(firstEvent + serializeChunk(event(1)))},
    };
}

/// Calls servers that all end attempts in this way. Returns how many requests they received.
std::size_t arrivals(const AttemptEnd &end, RouteKind kind, const RetryBounds &bounds)
{
    ForwardHarness harness;
    harness.retries.setBounds(bounds);
    harness.publishRoute(route(kind, Attempts));
    for (int i = 0; i < Servers; ++i) {
        harness.addBackend(end.script);
    }
    harness.call(ForwardHarness::request("GET"));
    return totalRequests(harness);
}

constexpr RetryBounds NoRetries{0, 10s, 0};
constexpr RetryBounds OneRetry{0, 10s, 1};

} // namespace

Test(secondArrivals, none_is_left_out_of_the_retry_budget, .timeout = 120)
{
    for (const RouteKind kind : {RouteKind::Idempotent, RouteKind::EventStream}) {
        for (const AttemptEnd &end : attemptEnds()) {
            cr_expect_eq(arrivals(end, kind, NoRetries), 1, "%s", end.name);
            cr_expect_leq(arrivals(end, kind, OneRetry), 2, "%s", end.name);
        }
    }
}

Test(secondArrivals, one_on_a_connection_that_its_server_had_closed_is_counted, .timeout = 20)
{
    ForwardHarness harness;
    harness.retries.setBounds(NoRetries);
    harness.publishRoute(route(RouteKind::Idempotent, Attempts));
    int received = 0;
    for (int i = 0; i < Servers; ++i) {
        harness.addBackend([&received](Connection &connection, const std::string &request) {
            ++received == 1 ? serve(connection, request) : reset(connection, request);
        });
    }
    cr_expect_eq(statusOf(harness.call(ForwardHarness::request("GET"))), 200);
    harness.call(ForwardHarness::request("GET"));
    cr_expect_eq(totalRequests(harness), 2);
}

Test(secondArrivals, one_after_a_lost_daemon_is_taken_from_the_retry_budget, .timeout = 20)
{
    for (const ScriptedBackend::Script &end : {ScriptedBackend::Script(reset), sendAndWait("")}) {
        ForwardHarness harness;
        harness.retries.setBounds(NoRetries);
        harness.publishRoute(route(RouteKind::Idempotent, Attempts));
        for (int i = 0; i < Servers; ++i) {
            harness.addBackend({}).stopListening();
        }
        const ScriptedBackend &first = harness.addPeer(end);
        const ScriptedBackend &second = harness.addPeer(end);
        harness.call(ForwardHarness::request("GET"));
        cr_expect_eq(first.requests.size() + second.requests.size(), 1);
    }
}
