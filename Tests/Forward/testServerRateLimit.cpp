#include "Forward/ForwardHarness.h"

using namespace lycheearch;

namespace {

using Connection = ScriptedBackend::Connection;

Route route(int maxAttempts)
{
    Route route;
    route.kind = RouteKind::Idempotent;
    route.timeout = 2s;
    route.latencyObjective = 500ms;
    route.maxAttempts = maxAttempts;
    return route;
}

ScriptedBackend::Script serveWith(const std::string &fields)
{
    return [fields](Connection &connection, const std::string &) {
        connection.send(ForwardHarness::response(200, "Response-Seal: seal\r\n" + fields, "hello"));
    };
}

int call(ForwardHarness &harness)
{
    return ForwardHarness::statusOf(harness.call(ForwardHarness::request("GET")));
}

/// The most requests that a server with a rate limit of \p perSecond may get in four seconds.
double mostInFourSeconds(double perSecond)
{
    return 1.5 * perSecond * 4 + 5;
}

} // namespace

Test(requestForwarder, a_server_that_named_a_rate_limit_gets_no_more_than_that, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(1));
    ScriptedBackend &limited = harness.addBackend(serveWith("Server-Limit: 1\r\n"));
    ScriptedBackend &other = harness.addBackend(serveWith(""));
    for (int i = 0; i < 60; ++i) {
        cr_expect_eq(call(harness), 200);
    }
    cr_expect(static_cast<double>(limited.requests.size()) <= mostInFourSeconds(1), "%zu requests",
              limited.requests.size());
    cr_expect_gt(other.requests.size(), 0);
}

Test(requestForwarder, a_brittle_server_that_rejected_a_request_gets_none_for_a_while,
     .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(2));
    bool full = false;
    ScriptedBackend &brittle = harness.addBackend([&](Connection &connection, const std::string &) {
        const std::string fields = full ? "Server-Brittle: 1\r\nNot-Executed: 1\r\n"
                                        : "Server-Brittle: 1\r\nResponse-Seal: seal\r\n";
        connection.send(ForwardHarness::response(full ? 503 : 200, fields, ""));
    });
    harness.addBackend(serveWith("Server-Brittle: nonsense\r\n"));
    for (int i = 0; i < 10; ++i) {
        cr_expect_eq(call(harness), 200);
    }
    full = true;
    const std::size_t before = brittle.requests.size();
    for (int i = 0; i < 20; ++i) {
        cr_expect_eq(call(harness), 200);
    }
    cr_expect_eq(brittle.requests.size() - before, 1);
}
