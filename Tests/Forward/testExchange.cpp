#include "Forward/ForwardHarness.h"

using namespace lycheearch;

namespace {

using Link = ScriptedBackend::Link;

Route route(RouteKind kind, int attempts = 2)
{
    Route made;
    made.kind = kind;
    made.timeout = 800ms;
    made.latencyObjective = 100ms;
    made.gapObjective = 100ms;
    made.maxAttempts = attempts;
    made.resumable = kind == RouteKind::EventStream;
    return made;
}

void serve(Link &link, const std::string &)
{
    link.send(ForwardHarness::sealed(200, "hello"));
}

void fail(Link &link, const std::string &)
{
    link.send(ForwardHarness::sealed(500, "broken"));
}

void refuse(Link &link, const std::string &)
{
    link.send(ForwardHarness::answer(503, "Not-Executed: 1\r\n", "full"));
}

void reset(Link &link, const std::string &)
{
    link.close();
}

int statusOf(const std::string &answer)
{
    return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

std::size_t totalRequests(const ForwardHarness &harness)
{
    std::size_t total = 0;
    for (const auto &backend : harness.backends) {
        total += backend->requests.size();
    }
    return total;
}

std::string streamHead()
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nResponse-Seal: seal\r\n"
           "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n";
}

} // namespace

Test(exchange, a_request_and_its_answer_pass_unchanged, .timeout = 20)
{
    ForwardHarness harness;
    harness.publish(route(RouteKind::NonIdempotent, 1));
    ScriptedBackend &backend = harness.addBackend(serve);
    const std::string answer = harness.call(
        ForwardHarness::request("POST", "Tenant: forged\r\nHold: x\r\nKv-From: y\r\n", "body"));
    cr_expect_eq(statusOf(answer), 200);
    cr_expect(contains(answer, "Response-Seal: seal") && contains(answer, "\r\n\r\nhello"));
    cr_assert_eq(backend.requests.size(), 1);
    const std::string &sent = backend.requests[0];
    cr_expect(contains(sent, "POST /a/x HTTP/1.1") && contains(sent, "\r\n\r\nbody"));
    cr_expect(contains(sent, "Tenant: acc") && contains(sent, "Target-Instance: b0"));
    cr_expect_not(contains(sent, "forged") || contains(sent, "Hold:") || contains(sent, "Kv-From")
                  || contains(sent, "Api-Key"));
}

Test(exchange, an_idempotent_request_is_sent_again_after_a_failure, .timeout = 20)
{
    for (const auto &first : {ScriptedBackend::Script(fail), ScriptedBackend::Script(refuse),
                              ScriptedBackend::Script(reset)}) {
        ForwardHarness harness;
        harness.publish(route(RouteKind::Idempotent));
        int sends = 0;
        const auto script = [&](Link &link, const std::string &request) {
            ++sends == 1 ? first(link, request) : serve(link, request);
        };
        harness.addBackend(script);
        harness.addBackend(script);
        cr_expect_eq(statusOf(harness.call(ForwardHarness::request("GET"))), 200);
        cr_expect_eq(sends, 2);
    }
}

Test(exchange, a_request_that_may_have_run_once_is_never_sent_again, .timeout = 20)
{
    ForwardHarness harness;
    harness.publish(route(RouteKind::NonIdempotent, 3));
    harness.addBackend(reset);
    harness.addBackend(reset);
    cr_expect_eq(statusOf(harness.call(ForwardHarness::request("POST", "", "b"))), 502);
    cr_expect_eq(totalRequests(harness), 1);
}

Test(exchange, a_refusal_is_passed_on_as_not_run_with_a_time_to_come_back, .timeout = 20)
{
    ForwardHarness harness;
    harness.publish(route(RouteKind::NonIdempotent, 1));
    harness.addBackend(refuse);
    const std::string answer = harness.call(ForwardHarness::request("POST", "", "b"));
    cr_expect_eq(statusOf(answer), 503);
    cr_expect(contains(answer, "Retry-After: 0."));
}

Test(exchange, a_refusal_after_a_run_is_not_called_not_run, .timeout = 20)
{
    ForwardHarness harness;
    harness.publish(route(RouteKind::NonIdempotent, 1));
    harness.addBackend(
        [](Link &link, const std::string &) { link.send(ForwardHarness::sealed(503, "it ran")); });
    cr_expect_eq(statusOf(harness.call(ForwardHarness::request("POST", "", "b"))), 502);
}

Test(exchange, the_servers_own_failure_is_passed_on_when_no_send_is_left, .timeout = 20)
{
    ForwardHarness harness;
    harness.publish(route(RouteKind::NonIdempotent, 1));
    harness.addBackend(fail);
    const std::string answer = harness.call(ForwardHarness::request("POST", "", "b"));
    cr_expect_eq(statusOf(answer), 500);
    cr_expect(contains(answer, "Response-Seal: seal") && contains(answer, "broken"));
}

Test(exchange, an_answer_to_another_request_is_skipped, .timeout = 20)
{
    ForwardHarness harness;
    harness.publish(route(RouteKind::NonIdempotent, 1));
    harness.addBackend([](Link &link, const std::string &) {
        link.send(ForwardHarness::answer(200, "Response-Seal: other\r\n", "foreign", "q0")
                  + ForwardHarness::sealed(200, "mine"));
    });
    const std::string answer = harness.call(ForwardHarness::request("POST", "", "b"));
    cr_expect_eq(statusOf(answer), 200);
    cr_expect(contains(answer, "mine") && !contains(answer, "foreign"));
}

Test(exchange, bytes_after_an_answer_spoil_the_connection_only, .timeout = 20)
{
    ForwardHarness harness;
    harness.publish(route(RouteKind::Idempotent));
    ScriptedBackend &backend = harness.addBackend([](Link &link, const std::string &) {
        link.send(ForwardHarness::sealed(200, "hello") + "HTTP/1.1 200 OK\r\nX: 1\r\n\r\n");
    });
    cr_expect_eq(statusOf(harness.call(ForwardHarness::request("GET"))), 200);
    const std::string second = harness.call(ForwardHarness::request("GET"));
    cr_expect_eq(statusOf(second), 200);
    cr_expect(contains(second, "hello"));
    cr_expect_eq(backend.links.size(), 2);
}

Test(exchange, an_answer_that_is_not_whole_is_no_success, .timeout = 20)
{
    const std::vector<std::string> bad = {
        ForwardHarness::answer(200, "", "no seal"),
        ForwardHarness::answer(200, "Response-Seal: s\r\nContent-Encoding: gzip\r\n", "coded"),
        "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nResponse-Seal: s\r\nContent-Length: 50\r\n\r\nshort",
        "noise\r\n\r\n",
        "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nResponse-Seal: s\r\nContent-Length: 1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    };
    for (const std::string &bytes : bad) {
        ForwardHarness harness;
        harness.publish(route(RouteKind::NonIdempotent, 1));
        harness.addBackend([&](Link &link, const std::string &) {
            link.send(bytes);
            link.socket.shutdownSending();
        });
        const std::string answer = harness.call(ForwardHarness::request("POST", "", "b"));
        cr_expect_eq(statusOf(answer), 502, "%s", bytes.c_str());
    }
}

Test(exchange, an_answer_without_length_is_whole_at_a_clean_end, .timeout = 20)
{
    ForwardHarness harness;
    harness.publish(route(RouteKind::NonIdempotent, 1));
    harness.addBackend([](Link &link, const std::string &) {
        link.send("HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nResponse-Seal: s\r\n\r\nall");
        link.socket.shutdownSending();
    });
    const std::string answer = harness.call(ForwardHarness::request("POST", "", "b"));
    cr_expect_eq(statusOf(answer), 200);
    cr_expect(contains(answer, "Content-Length: 3"));
}

Test(exchange, a_silent_server_is_answered_for_at_the_timeout, .timeout = 20)
{
    ForwardHarness harness;
    harness.publish(route(RouteKind::NonIdempotent, 1));
    ScriptedBackend &backend = harness.addBackend([](Link &, const std::string &) {});
    const TimePoint start = harness.loop.now();
    cr_expect_eq(statusOf(harness.call(ForwardHarness::request("POST", "", "b"))), 504);
    const Duration took = harness.loop.now() - start;
    cr_expect(took > 700ms && took < 1200ms);
    harness.settle();
    cr_expect_eq(backend.closed, 1);
}

Test(exchange, a_caller_that_leaves_ends_the_run, .timeout = 20)
{
    ForwardHarness harness;
    harness.publish(route(RouteKind::Idempotent));
    ScriptedBackend &backend = harness.addBackend([](Link &, const std::string &) {});
    harness.call(
        ForwardHarness::request("GET"), 150ms, [&] { harness.hangUp(); }, 50ms);
    harness.settle();
    cr_expect_eq(backend.closed, 1);
    cr_expect_eq(totalRequests(harness), 1);
}

Test(exchange, a_dead_address_leads_to_the_next_server, .timeout = 20)
{
    ForwardHarness harness;
    harness.publish(route(RouteKind::NonIdempotent, 1));
    harness.announce("a-dead", {"127.0.0.1", 9});
    harness.addBackend(serve);
    for (int i = 0; i < 4; ++i) {
        cr_expect_eq(statusOf(harness.call(ForwardHarness::request("POST", "", "b"))), 200);
    }
}

Test(exchange, without_a_server_a_request_is_refused_at_once, .timeout = 20)
{
    ForwardHarness harness;
    harness.publish(route(RouteKind::NonIdempotent, 1));
    const TimePoint start = harness.loop.now();
    const std::string answer = harness.call(ForwardHarness::request("POST", "", "b"));
    cr_expect_eq(statusOf(answer), 503);
    cr_expect(contains(answer, "Retry-After"));
    cr_expect(harness.loop.now() - start < 300ms);
}

Test(exchange, unknown_keys_routes_and_a_missing_configuration_have_their_status, .timeout = 20)
{
    ForwardHarness harness;
    cr_expect_eq(statusOf(harness.call(ForwardHarness::request("GET"))), 503);
    harness.publish(route(RouteKind::Idempotent));
    harness.addBackend(serve);
    cr_expect_eq(statusOf(harness.call("GET /b/ HTTP/1.1\r\nHost: h.example\r\nApi-Key: k\r\n"
                                       "Connection: close\r\n\r\n")),
                 404);
    cr_expect_eq(statusOf(harness.call("GET /a/ HTTP/1.1\r\nHost: h.example\r\nApi-Key: z\r\n"
                                       "Connection: close\r\n\r\n")),
                 401);
    cr_expect_eq(totalRequests(harness), 0);
}

Test(exchange, a_smuggled_request_never_reaches_a_server, .timeout = 20)
{
    ForwardHarness harness;
    harness.publish(route(RouteKind::Idempotent));
    harness.addBackend(serve);
    const std::string answer = harness.call(
        "POST /a/x HTTP/1.1\r\nHost: h.example\r\nApi-Key: k\r\nAttempt-Id: q1\r\n"
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /a/y HTTP/1.1\r\n"
        "Host: h.example\r\nApi-Key: k\r\n\r\n");
    cr_expect_eq(statusOf(answer), 400);
    cr_expect_eq(totalRequests(harness), 0);
}

Test(exchange, limits_of_the_configuration_bind_callers, .timeout = 20)
{
    ForwardHarness harness;
    harness.limits.headBytes = 512;
    harness.limits.bodyBytes = 100;
    harness.limits.headTimeout = 200ms;
    harness.publish(route(RouteKind::Idempotent));
    harness.addBackend(serve);
    const std::string big(600, 'x');
    cr_expect_eq(statusOf(harness.call(ForwardHarness::request("GET", "X: " + big + "\r\n"))), 431);
    cr_expect_eq(statusOf(harness.call(ForwardHarness::request("GET", "", big))), 413);
    cr_expect_eq(statusOf(harness.call("GET /a/x HTTP/1.1\r\nHost: h")), 408);
}

Test(exchange, events_pass_one_by_one, .timeout = 20)
{
    ForwardHarness harness;
    harness.publish(route(RouteKind::EventStream));
    harness.addBackend([&](Link &link, const std::string &) {
        link.send(streamHead() + serializeChunk(event(1)) + serializeChunk("id: 2\nda"));
        harness.loop.at(harness.loop.now() + 50ms, [&](TimePoint) {
            link.send(serializeChunk("ta: d2\n\n") + std::string(LastChunk));
        });
    });
    const std::string answer = harness.call(ForwardHarness::request("POST", "", "b"));
    cr_expect_eq(statusOf(answer), 200);
    cr_expect(contains(answer, event(1)) && contains(answer, event(2)));
    cr_expect(answer.ends_with("0\r\n\r\n"));
}

Test(exchange, a_broken_stream_goes_on_at_another_server, .timeout = 20)
{
    ForwardHarness harness;
    harness.publish(route(RouteKind::EventStream, 3));
    const auto script = [](Link &link, const std::string &request) {
        if (contains(request, "Last-Event-Id: 2")) {
            link.send(streamHead() + serializeChunk(event(3)) + std::string(LastChunk));
            return;
        }
        link.send(streamHead() + serializeChunk(event(1) + event(2) + "id: 3\nda"));
        link.socket.shutdownSending();
    };
    harness.addBackend(script);
    harness.addBackend(script);
    const std::string answer = harness.call(ForwardHarness::request("POST", "", "b"));
    for (int id = 1; id <= 3; ++id) {
        cr_expect(contains(answer, event(id)), "event %d", id);
    }
    cr_expect_eq(answer.find("data: d3"), answer.rfind("data: d3"));
    cr_expect(answer.ends_with("0\r\n\r\n"));
}

Test(exchange, a_stream_that_can_not_go_on_does_not_look_complete, .timeout = 20)
{
    ForwardHarness harness;
    harness.publish(route(RouteKind::EventStream, 1));
    harness.addBackend([](Link &link, const std::string &) {
        link.send(streamHead() + serializeChunk(event(1)));
        link.socket.shutdownSending();
    });
    const std::string answer = harness.call(ForwardHarness::request("POST", "", "b"));
    cr_expect(contains(answer, event(1)));
    cr_expect_not(answer.ends_with("0\r\n\r\n"));
}

Test(exchange, a_small_models_doubtful_answer_is_never_shown, .timeout = 20)
{
    ForwardHarness harness;
    Route models = route(RouteKind::EventStream, 3);
    models.models = {"small", "large"};
    harness.publish(models);
    harness.addBackend([](Link &link, const std::string &request) {
        const bool small = contains(request, "Model: small");
        link.send(
            "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nResponse-Seal: seal\r\nConfidence: "
            + std::string(small ? "5" : "95") + "\r\nTransfer-Encoding: chunked\r\n\r\n"
            + serializeChunk("id: 1\ndata: " + std::string(small ? "small" : "large") + "\n\n")
            + std::string(LastChunk));
    });
    const std::string answer = harness.call(ForwardHarness::request("POST", "Model: *\r\n", "b"));
    cr_expect(contains(answer, "data: large") && !contains(answer, "data: small"));
    cr_expect_eq(totalRequests(harness), 2);
}

Test(exchange, a_stopping_daemon_closes_after_each_answer_and_refuses_long_work, .timeout = 20)
{
    ForwardHarness harness;
    harness.publish(route(RouteKind::Idempotent));
    harness.addBackend(serve);
    harness.stop.begin(8s, harness.loop.now() - Duration(7500ms));
    const std::string answer = harness.call(ForwardHarness::request("GET"));
    cr_expect_eq(statusOf(answer), 503);
    cr_expect(contains(answer, "Retry-After"));
}

Test(exchange, bodies_beyond_the_memory_are_refused_and_their_room_comes_back, .timeout = 20)
{
    ForwardHarness harness;
    harness.publish(route(RouteKind::Idempotent));
    harness.addBackend(serve);
    const std::string large(2'000'000, 'x');
    const std::string answer = harness.call(ForwardHarness::request("POST", "", large));
    cr_expect_eq(statusOf(answer), 503);
    harness.settle();
    cr_expect_eq(harness.bodies.held(), 0);
    cr_expect_eq(statusOf(harness.call(ForwardHarness::request("POST", "", "small"))), 200);
}
