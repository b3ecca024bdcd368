#include "Forward/ForwardScripts.h"

// What backend servers announce in their answers, and answers without end.

using namespace lycheearch;

namespace {

/// Serves the request with an additional field in the head.
ScriptedBackend::Script serveWith(const std::string &field)
{
    return [field](Connection &connection, const std::string &) {
        connection.send(ForwardHarness::response(200, "Response-Seal: seal\r\n" + field, "hello"));
    };
}

/// Refuses the request with an additional field in the head.
ScriptedBackend::Script refuseWith(const std::string &field)
{
    return [field](Connection &connection, const std::string &) {
        connection.send(ForwardHarness::response(503, "Not-Executed: 1\r\n" + field, "full"));
    };
}

} // namespace

Test(requestForwarder, a_server_that_announces_its_stop_gets_no_further_request, .timeout = 20)
{
    const std::vector<ScriptedBackend::Script> scripts = {
        serveWith("Server-Leaving: 1\r\n"),
        refuseWith("Server-Leaving: 1\r\n"),
        [](Connection &connection, const std::string &) {
            connection.send("HTTP/1.1 103 Early Hints\r\nServer-Leaving: 1\r\n\r\n");
            connection.send(ForwardHarness::sealedResponse(200, "hello"));
        },
    };
    for (const auto &script : scripts) {
        ForwardHarness harness;
        harness.publishRoute(route(RouteKind::Idempotent));
        ScriptedBackend &leaving = harness.addBackend(script);
        harness.call(ForwardHarness::request("GET"));
        ScriptedBackend &other = harness.addBackend(serve);
        for (int i = 0; i < 10; ++i) {
            cr_expect_eq(statusOf(harness.call(ForwardHarness::request("GET"))), 200);
        }
        cr_expect_eq(leaving.requests.size(), 1);
        cr_expect_eq(other.requests.size(), 10);
    }
}

Test(requestForwarder, an_answer_to_another_request_does_not_announce_a_stop, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::Idempotent, 1));
    ScriptedBackend &backend = harness.addBackend([](Connection &connection, const std::string &) {
        connection.send(ForwardHarness::response(
            200, "Response-Seal: seal\r\nServer-Leaving: 1\r\n", "other", "q0"));
        connection.send(ForwardHarness::sealedResponse(200, "hello"));
    });
    for (int i = 0; i < 3; ++i) {
        cr_expect_eq(statusOf(harness.call(ForwardHarness::request("GET"))), 200);
    }
    cr_expect_eq(backend.requests.size(), 3);
}

Test(requestForwarder, a_server_that_asks_for_a_pause_gets_it, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::NonIdempotent, 1));
    ScriptedBackend &backend = harness.addBackend(refuseWith("Retry-After: 0.8\r\n"));
    cr_expect_eq(statusOf(harness.call(ForwardHarness::request("POST"))), 503);
    backend.onRequest = serve;
    for (int i = 0; i < 5; ++i) {
        const std::string refused = harness.call(ForwardHarness::request("POST"));
        cr_expect_eq(statusOf(refused), 503);
        cr_expect(contains(refused, "Retry-After: "), "%s", refused.c_str());
        cr_expect_not(contains(refused, "Retry-After: 0.300"), "%s", refused.c_str());
    }
    cr_expect_eq(backend.requests.size(), 1);
    harness.runLoop(900ms);
    cr_expect_eq(statusOf(harness.call(ForwardHarness::request("POST"))), 200);
}

Test(requestForwarder, a_pause_that_is_no_number_is_ignored, .timeout = 20)
{
    for (const char *value : {"soon", "-5", "Fri, 04 Dec 2026 09:00:00 GMT", "nan", ""}) {
        ForwardHarness harness;
        harness.publishRoute(route(RouteKind::NonIdempotent, 1));
        ScriptedBackend &backend =
            harness.addBackend(refuseWith(std::string("Retry-After: ") + value + "\r\n"));
        harness.call(ForwardHarness::request("POST"));
        backend.onRequest = serve;
        harness.runLoop(200ms);
        cr_expect_eq(statusOf(harness.call(ForwardHarness::request("POST"))), 200, "%s", value);
    }
}

Test(requestForwarder, interim_responses_without_end_are_cut, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::NonIdempotent, 1));
    harness.addBackend([](Connection &connection, const std::string &) {
        std::string interims;
        for (int i = 0; i < 1000; ++i) {
            interims += "HTTP/1.1 100 Continue\r\n\r\n";
        }
        connection.send(interims);
    });
    const TimePoint before = harness.loop.now();
    cr_expect_eq(statusOf(harness.call(ForwardHarness::request("POST"))), 502);
    cr_expect_lt(harness.loop.now() - before, Duration(500ms));
}

Test(requestForwarder, bodies_without_end_are_cut_and_their_memory_is_released, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::NonIdempotent, 1));
    const std::vector<std::string> heads = {"Transfer-Encoding: chunked\r\n\r\n",
                                            "Connection: close\r\n\r\n"};
    ScriptedBackend &backend = harness.addBackend(serve);
    for (const std::string &head : heads) {
        backend.onRequest = [&](Connection &connection, const std::string &) {
            connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nResponse-Seal: seal\r\n" + head);
            for (int i = 0; i < 64; ++i) {
                connection.send("4000\r\n" + std::string(0x4000, 'x') + "\r\n");
            }
        };
        const TimePoint before = harness.loop.now();
        cr_expect_eq(statusOf(harness.call(ForwardHarness::request("POST"))), 502);
        cr_expect_lt(harness.loop.now() - before, Duration(600ms));
        cr_expect_eq(harness.responseBudget.reservedBytes(), 0);
    }
    backend.onRequest = serve;
    harness.runLoop(900ms);
    cr_expect_eq(statusOf(harness.call(ForwardHarness::request("POST"))), 200);
    cr_expect_eq(harness.responseBudget.reservedBytes(), 0);
}

Test(requestForwarder, a_stream_that_another_server_rejects_ends_without_a_second_response,
     .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::EventStream, 3));
    const auto script = [](Connection &connection, const std::string &request) {
        if (contains(request, "Last-Event-Id: 1")) {
            connection.send(ForwardHarness::sealedResponse(404, "gone"));
            return;
        }
        connection.send(streamHead() + serializeChunk(event(1)));
        connection.socket.shutdownSending();
    };
    harness.addBackend(script);
    harness.addBackend(script);
    const std::string response = harness.call(ForwardHarness::request("POST", "", "b"));
    cr_expect(contains(response, event(1)));
    cr_expect_eq(response.find("HTTP/1.1"), response.rfind("HTTP/1.1"));
    cr_expect_not(response.ends_with("0\r\n\r\n"));
}

Test(requestForwarder, a_server_that_is_silent_for_a_second_loses_no_request_and_stays_in_use,
     .timeout = 20)
{
    ForwardHarness harness;
    Route patient = route(RouteKind::NonIdempotent, 1);
    patient.timeout = 2s;
    harness.publishRoute(patient);
    int late = 0;
    const auto script = [&](Connection &connection, const std::string &request) {
        const bool isLate = late-- > 0;
        harness.loop.at(harness.loop.now() + (isLate ? Duration(1200ms) : Duration(1ms)),
                        [&connection](TimePoint) { serve(connection, ""); });
    };
    harness.addBackend(script);
    harness.addBackend(script);
    for (int i = 0; i < 4; ++i) {
        late = 1;
        cr_expect_eq(statusOf(harness.call(ForwardHarness::request("POST", "", "b"))), 200);
        cr_expect_eq(statusOf(harness.call(ForwardHarness::request("POST", "", "b"))), 200);
    }
    cr_expect_eq(harness.received(), 8);
    cr_expect(harness.picker.reach().cutOffServices().empty());
    for (const auto &[id, load] : harness.picker.ownLoads(harness.loop.now())) {
        cr_expect_eq(load.unreachable, 0);
    }
}
