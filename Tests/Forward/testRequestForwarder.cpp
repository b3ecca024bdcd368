#include "Forward/ForwardScripts.h"

using namespace lycheearch;

Test(requestForwarder, request_and_response_are_forwarded_and_router_fields_replaced, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::NonIdempotent, 1));
    ScriptedBackend &backend = harness.addBackend(serve);
    const std::string response = harness.call(
        ForwardHarness::request("POST", "Tenant: forged\r\nHold: x\r\nKv-From: y\r\n", "body"));
    cr_expect_eq(statusOf(response), 200);
    cr_expect(contains(response, "Response-Seal: seal") && contains(response, "\r\n\r\nhello"));
    cr_assert_eq(backend.requests.size(), 1);
    const std::string &sent = backend.requests[0];
    cr_expect(contains(sent, "POST /a/x HTTP/1.1") && contains(sent, "\r\n\r\nbody"));
    cr_expect(contains(sent, "Tenant: acc") && contains(sent, "Target-Instance: b0"));
    cr_expect_not(contains(sent, "forged") || contains(sent, "Hold:") || contains(sent, "Kv-From")
                  || contains(sent, "Api-Key"));
}

Test(requestForwarder, an_idempotent_request_is_retried_after_a_failure, .timeout = 20)
{
    for (const auto &first : {ScriptedBackend::Script(fail), ScriptedBackend::Script(refuse),
                              ScriptedBackend::Script(reset)}) {
        ForwardHarness harness;
        harness.publishRoute(route(RouteKind::Idempotent));
        int sends = 0;
        const auto script = [&](Connection &connection, const std::string &request) {
            ++sends == 1 ? first(connection, request) : serve(connection, request);
        };
        harness.addBackend(script);
        harness.addBackend(script);
        cr_expect_eq(statusOf(harness.call(ForwardHarness::request("GET"))), 200);
        cr_expect_eq(sends, 2);
    }
}

Test(requestForwarder, a_non_idempotent_request_that_may_have_run_is_not_retried, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::NonIdempotent, 3));
    harness.addBackend(reset);
    harness.addBackend(reset);
    cr_expect_eq(statusOf(harness.call(ForwardHarness::request("POST", "", "b"))), 502);
    cr_expect_eq(totalRequests(harness), 1);
}

Test(requestForwarder, a_request_refused_by_the_backend_gets_503_with_retry_after, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::NonIdempotent, 1));
    harness.addBackend(refuse);
    const std::string response = harness.call(ForwardHarness::request("POST", "", "b"));
    cr_expect_eq(statusOf(response), 503);
    cr_expect(contains(response, "Retry-After: 0."));
}

Test(requestForwarder, a_503_after_execution_is_not_reported_as_not_executed, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::NonIdempotent, 1));
    harness.addBackend([](Connection &connection, const std::string &) {
        connection.send(ForwardHarness::sealedResponse(503, "it ran"));
    });
    cr_expect_eq(statusOf(harness.call(ForwardHarness::request("POST", "", "b"))), 502);
}

Test(requestForwarder, the_error_response_of_the_backend_is_relayed_when_no_attempt_is_left,
     .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::NonIdempotent, 1));
    harness.addBackend(fail);
    const std::string response = harness.call(ForwardHarness::request("POST", "", "b"));
    cr_expect_eq(statusOf(response), 500);
    cr_expect(contains(response, "Response-Seal: seal") && contains(response, "broken"));
}

Test(requestForwarder, a_response_to_another_request_is_skipped, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::NonIdempotent, 1));
    harness.addBackend([](Connection &connection, const std::string &) {
        connection.send(ForwardHarness::response(200, "Response-Seal: other\r\n", "foreign", "q0")
                        + ForwardHarness::sealedResponse(200, "mine"));
    });
    const std::string response = harness.call(ForwardHarness::request("POST", "", "b"));
    cr_expect_eq(statusOf(response), 200);
    cr_expect(contains(response, "mine") && !contains(response, "foreign"));
}

Test(requestForwarder, bytes_after_a_response_only_prevent_connection_reuse, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::Idempotent));
    ScriptedBackend &backend = harness.addBackend([](Connection &connection, const std::string &) {
        connection.send(ForwardHarness::sealedResponse(200, "hello")
                        + "HTTP/1.1 200 OK\r\nX: 1\r\n\r\n");
    });
    cr_expect_eq(statusOf(harness.call(ForwardHarness::request("GET"))), 200);
    const std::string second = harness.call(ForwardHarness::request("GET"));
    cr_expect_eq(statusOf(second), 200);
    cr_expect(contains(second, "hello"));
    cr_expect_eq(backend.connections.size(), 2);
}

Test(requestForwarder, an_incomplete_or_unsealed_response_leads_to_502, .timeout = 20)
{
    const std::vector<std::string> bad = {
        ForwardHarness::response(200, "", "no seal"),
        ForwardHarness::response(200, "Response-Seal: s\r\nContent-Encoding: gzip\r\n", "coded"),
        "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nResponse-Seal: s\r\nContent-Length: 50\r\n\r\nshort",
        "noise\r\n\r\n",
        "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nResponse-Seal: s\r\nContent-Length: 1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    };
    for (const std::string &bytes : bad) {
        ForwardHarness harness;
        harness.publishRoute(route(RouteKind::NonIdempotent, 1));
        harness.addBackend([&](Connection &connection, const std::string &) {
            connection.send(bytes);
            connection.socket.shutdownSending();
        });
        const std::string response = harness.call(ForwardHarness::request("POST", "", "b"));
        cr_expect_eq(statusOf(response), 502, "%s", bytes.c_str());
    }
}

Test(requestForwarder, a_response_without_length_is_complete_at_connection_close, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::NonIdempotent, 1));
    harness.addBackend([](Connection &connection, const std::string &) {
        connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nResponse-Seal: s\r\n\r\nall");
        connection.socket.shutdownSending();
    });
    const std::string response = harness.call(ForwardHarness::request("POST", "", "b"));
    cr_expect_eq(statusOf(response), 200);
    cr_expect(contains(response, "Content-Length: 3"));
}

Test(requestForwarder, an_unresponsive_server_leads_to_504_at_the_timeout, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::NonIdempotent, 1));
    ScriptedBackend &backend = harness.addBackend([](Connection &, const std::string &) {});
    const TimePoint start = harness.loop.now();
    cr_expect_eq(statusOf(harness.call(ForwardHarness::request("POST", "", "b"))), 504);
    const Duration elapsed = harness.loop.now() - start;
    cr_expect(elapsed > 700ms && elapsed < 1200ms);
    harness.runLoop();
    cr_expect_eq(backend.closed, 1);
}

Test(requestForwarder, a_caller_disconnect_cancels_the_request, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::Idempotent));
    ScriptedBackend &backend = harness.addBackend([](Connection &, const std::string &) {});
    harness.call(
        ForwardHarness::request("GET"), 150ms, [&] { harness.disconnectCaller(); }, 50ms);
    harness.runLoop();
    cr_expect_eq(backend.closed, 1);
    cr_expect_eq(totalRequests(harness), 1);
}

Test(requestForwarder, a_refused_connection_leads_to_the_next_server, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::NonIdempotent, 1));
    harness.reportBackend("a-dead", {"127.0.0.1", 9});
    harness.addBackend(serve);
    for (int i = 0; i < 4; ++i) {
        cr_expect_eq(statusOf(harness.call(ForwardHarness::request("POST", "", "b"))), 200);
    }
}

Test(requestForwarder, without_a_backend_server_a_request_fails_immediately, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::NonIdempotent, 1));
    const TimePoint start = harness.loop.now();
    const std::string response = harness.call(ForwardHarness::request("POST", "", "b"));
    cr_expect_eq(statusOf(response), 503);
    cr_expect(contains(response, "Retry-After"));
    cr_expect(harness.loop.now() - start < 300ms);
}

Test(requestForwarder, unknown_keys_and_routes_and_a_missing_configuration_are_reported_by_status,
     .timeout = 20)
{
    ForwardHarness harness;
    cr_expect_eq(statusOf(harness.call(ForwardHarness::request("GET"))), 503);
    harness.publishRoute(route(RouteKind::Idempotent));
    harness.addBackend(serve);
    cr_expect_eq(statusOf(harness.call("GET /b/ HTTP/1.1\r\nHost: h.example\r\nApi-Key: k\r\n"
                                       "Connection: close\r\n\r\n")),
                 404);
    cr_expect_eq(statusOf(harness.call("GET /a/ HTTP/1.1\r\nHost: h.example\r\nApi-Key: z\r\n"
                                       "Connection: close\r\n\r\n")),
                 401);
    cr_expect_eq(totalRequests(harness), 0);
}

Test(requestForwarder, a_smuggled_request_never_reaches_a_backend_server, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::Idempotent));
    harness.addBackend(serve);
    const std::string response = harness.call(
        "POST /a/x HTTP/1.1\r\nHost: h.example\r\nApi-Key: k\r\nAttempt-Id: q1\r\n"
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /a/y HTTP/1.1\r\n"
        "Host: h.example\r\nApi-Key: k\r\n\r\n");
    cr_expect_eq(statusOf(response), 400);
    cr_expect_eq(totalRequests(harness), 0);
}

Test(requestForwarder, configured_request_limits_are_enforced, .timeout = 20)
{
    ForwardHarness harness;
    harness.limits.headBytes = 512;
    harness.limits.bodyBytes = 100;
    harness.limits.headTimeout = 200ms;
    harness.publishRoute(route(RouteKind::Idempotent));
    harness.addBackend(serve);
    const std::string big(600, 'x');
    cr_expect_eq(statusOf(harness.call(ForwardHarness::request("GET", "X: " + big + "\r\n"))), 431);
    cr_expect_eq(statusOf(harness.call(ForwardHarness::request("GET", "", big))), 413);
    cr_expect_eq(statusOf(harness.call("GET /a/x HTTP/1.1\r\nHost: h")), 408);
}

Test(requestForwarder, stream_events_are_relayed, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::EventStream));
    harness.addBackend([&](Connection &connection, const std::string &) {
        connection.send(streamHead() + serializeChunk(event(1)) + serializeChunk("id: 2\nda"));
        harness.loop.at(harness.loop.now() + 50ms, [&](TimePoint) {
            connection.send(serializeChunk("ta: d2\n\n") + std::string(LastChunk));
        });
    });
    const std::string response = harness.call(ForwardHarness::request("POST", "", "b"));
    cr_expect_eq(statusOf(response), 200);
    cr_expect(contains(response, event(1)) && contains(response, event(2)));
    cr_expect(response.ends_with("0\r\n\r\n"));
}

Test(requestForwarder, a_broken_stream_resumes_at_another_server, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::EventStream, 3));
    const auto script = [](Connection &connection, const std::string &request) {
        if (contains(request, "Last-Event-Id: 2")) {
            connection.send(streamHead() + serializeChunk(event(3)) + std::string(LastChunk));
            return;
        }
        connection.send(streamHead() + serializeChunk(event(1) + event(2) + "id: 3\nda"));
        connection.socket.shutdownSending();
    };
    harness.addBackend(script);
    harness.addBackend(script);
    const std::string response = harness.call(ForwardHarness::request("POST", "", "b"));
    for (int id = 1; id <= 3; ++id) {
        cr_expect(contains(response, event(id)), "event %d", id);
    }
    cr_expect_eq(response.find("data: d3"), response.rfind("data: d3"));
    cr_expect(response.ends_with("0\r\n\r\n"));
}

Test(requestForwarder, a_stream_that_cannot_resume_ends_without_the_last_chunk, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::EventStream, 1));
    harness.addBackend([](Connection &connection, const std::string &) {
        connection.send(streamHead() + serializeChunk(event(1)));
        connection.socket.shutdownSending();
    });
    const std::string response = harness.call(ForwardHarness::request("POST", "", "b"));
    cr_expect(contains(response, event(1)));
    cr_expect_not(response.ends_with("0\r\n\r\n"));
}

Test(requestForwarder, a_low_confidence_response_is_replaced_by_that_of_the_larger_model,
     .timeout = 20)
{
    ForwardHarness harness;
    Route models = route(RouteKind::EventStream, 3);
    models.models = {"small", "large"};
    harness.publishRoute(models);
    harness.addBackend([](Connection &connection, const std::string &request) {
        const bool small = contains(request, "Model: small");
        connection.send(
            "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nResponse-Seal: seal\r\nConfidence: "
            + std::string(small ? "5" : "95") + "\r\nTransfer-Encoding: chunked\r\n\r\n"
            + serializeChunk("id: 1\ndata: " + std::string(small ? "small" : "large") + "\n\n")
            + std::string(LastChunk));
    });
    const std::string response = harness.call(ForwardHarness::request("POST", "Model: *\r\n", "b"));
    cr_expect(contains(response, "data: large") && !contains(response, "data: small"));
    cr_expect_eq(totalRequests(harness), 2);
}

Test(requestForwarder, a_stopping_daemon_refuses_requests_that_may_not_finish_in_time,
     .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::Idempotent));
    harness.addBackend(serve);
    harness.stop.begin(8s, harness.loop.now() - Duration(7500ms));
    const std::string response = harness.call(ForwardHarness::request("GET"));
    cr_expect_eq(statusOf(response), 503);
    cr_expect(contains(response, "Retry-After"));
}

Test(requestForwarder, bodies_over_the_memory_budget_are_refused_and_their_memory_released,
     .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::Idempotent));
    harness.addBackend(serve);
    const std::string large(2'000'000, 'x');
    const std::string response = harness.call(ForwardHarness::request("POST", "", large));
    cr_expect_eq(statusOf(response), 503);
    harness.runLoop();
    cr_expect_eq(harness.bodyBudget.reservedBytes(), 0);
    cr_expect_eq(statusOf(harness.call(ForwardHarness::request("POST", "", "small"))), 200);
}
