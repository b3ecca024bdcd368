#include "Forward/ForwardHarness.h"

using namespace lycheearch;

namespace {

constexpr std::size_t ResponseBudget = 256UL * 1024;

} // namespace

// Guards against a daemon that ends when the bytes for which it gives up a response also complete
// it.
Test(abortedResponse, a_body_that_exceeds_the_budget_with_its_last_byte_ends_only_its_request,
     .timeout = 20)
{
    ForwardHarness harness;
    Route route;
    route.kind = RouteKind::NonIdempotent;
    route.timeout = 2s;
    harness.publishRoute(route);
    std::string body(ResponseBudget + 1, 'x');
    harness.addBackend([&](ScriptedBackend::Connection &connection, const std::string &) {
        connection.send(ForwardHarness::sealedResponse(200, body));
    });
    const std::string request = ForwardHarness::request("POST", "", "b");
    cr_expect_eq(ForwardHarness::statusOf(harness.call(request)), 502);
    body = "hello";
    cr_expect_eq(ForwardHarness::statusOf(harness.call(request)), 200);
}

// Guards against the same end of the daemon by one event that exceeds its limit.
Test(abortedResponse, an_event_that_is_too_large_with_the_last_byte_ends_only_its_request,
     .timeout = 20)
{
    ForwardHarness harness;
    Route route;
    route.kind = RouteKind::EventStream;
    route.timeout = 2s;
    harness.publishRoute(route);
    harness.addBackend([](ScriptedBackend::Connection &connection, const std::string &) {
        const std::string large = "data: " + std::string(1024UL * 1024 - 5, 'x');
        connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nResponse-Seal: seal\r\n"
                        "Content-Length: "
                        + std::to_string(large.size()) + "\r\n\r\n" + large);
    });
    cr_expect_eq(ForwardHarness::statusOf(harness.call(ForwardHarness::request("POST", "", "b"))),
                 502);
}
