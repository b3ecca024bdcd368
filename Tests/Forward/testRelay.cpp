#include "Forward/ForwardHarness.h"

#include <optional>

using namespace lycheearch;

namespace {

using Connection = ScriptedBackend::Connection;

Route routeOf(RouteKind kind, int maxAttempts = 3)
{
    Route route;
    route.kind = kind;
    route.timeout = 2s;
    route.latencyObjective = 500ms;
    route.gapObjective = 300ms;
    route.maxAttempts = maxAttempts;
    route.resumable = kind == RouteKind::EventStream && maxAttempts > 1;
    return route;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

std::size_t count(const std::string &text, const std::string &part)
{
    std::size_t found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++found;
    }
    return found;
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n";
}

std::string streamHead()
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nResponse-Seal: seal\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

ScriptedBackend::Script respond(int status, const std::string &fields, const std::string &body)
{
    return [=](Connection &connection, const std::string &) {
        connection.send(ForwardHarness::response(status, fields, body));
    };
}

const ScriptedBackend::Script Serve =
    respond(200,
            "Response-Seal: seal\r\nLycheearch-Relay-Attempts: 1\r\n"
            "Lycheearch-Relay-Backend: b0\r\n",
            "from the peer");
const ScriptedBackend::Script Decline =
    respond(503, "Retry-After: 0.5\r\nLycheearch-Relay-Declined: 1\r\n", "");

/// A daemon all of whose servers refuse connections.
struct CutOffHarness : ForwardHarness
{
    explicit CutOffHarness(Route route)
    {
        publishRoute(std::move(route));
        constexpr int servers = 4;
        for (int i = 0; i < servers; ++i) {
            addBackend([](Connection &, const std::string &) {}).stopListening();
        }
    }
};

std::string relayFields(int attempts, const std::string &tried, int config)
{
    return "Lycheearch-Relay-Attempts: " + std::to_string(attempts) + "\r\nLycheearch-Relay-Tried: "
        + tried + "\r\nLycheearch-Relay-Config: " + std::to_string(config) + "\r\n";
}

} // namespace

Test(relay, a_request_whose_servers_are_not_reached_is_served_through_a_peer, .timeout = 20)
{
    for (const RouteKind kind : {RouteKind::Idempotent, RouteKind::NonIdempotent}) {
        CutOffHarness harness(routeOf(kind, 1));
        const ScriptedBackend &peer = harness.addPeer(Serve);
        const std::string response =
            harness.call(ForwardHarness::request("POST", "Tenant: forged\r\n", "body"));
        cr_expect_eq(ForwardHarness::statusOf(response), 200);
        cr_expect(contains(response, "Response-Seal: seal"));
        cr_expect(response.ends_with("from the peer"));
        cr_expect_not(contains(response, "Lycheearch-Relay"));
        cr_assert_eq(peer.requests.size(), 1);
        cr_expect(contains(peer.requests[0], "Api-Key: k\r\n"));
        cr_expect(contains(peer.requests[0], "Lycheearch-Relay-Config: 1\r\n"));
        cr_expect_not(contains(peer.requests[0], "forged"));
        cr_expect(peer.requests[0].ends_with("body"));
    }
}

Test(relay, a_peer_that_declines_is_replaced_by_another_one, .timeout = 20)
{
    CutOffHarness harness(routeOf(RouteKind::NonIdempotent, 1));
    const ScriptedBackend &first = harness.addPeer(Decline);
    const ScriptedBackend &second = harness.addPeer(Serve);
    for (int i = 0; i < 6; ++i) {
        const std::string response = harness.call(ForwardHarness::request("POST", "", "b"));
        cr_expect_eq(ForwardHarness::statusOf(response), 200);
    }
    cr_expect_leq(first.requests.size(), 1);
    cr_expect_eq(second.requests.size(), 6);
}

Test(relay, a_refusal_of_the_peer_reaches_the_caller_with_its_retry_after, .timeout = 20)
{
    CutOffHarness harness(routeOf(RouteKind::NonIdempotent, 1));
    harness.addPeer(respond(503, "Retry-After: 1.250\r\n", ""));
    const std::string response = harness.call(ForwardHarness::request("POST", "", "b"));
    cr_expect_eq(ForwardHarness::statusOf(response), 503);
    cr_expect(contains(response, "Retry-After: 1.250"));
}

Test(relay, a_request_is_refused_at_once_if_no_daemon_reaches_the_servers, .timeout = 20)
{
    CutOffHarness harness(routeOf(RouteKind::NonIdempotent, 1));
    for (int i = 0; i < 3; ++i) {
        harness.addPeer(Decline);
    }
    const TimePoint begin = harness.loop.now();
    const std::string response = harness.call(ForwardHarness::request("POST", "", "b"));
    cr_expect_eq(ForwardHarness::statusOf(response), 503);
    cr_expect(contains(response, "Retry-After: "));
    cr_expect_lt(toMilliseconds(harness.loop.now() - begin), 500);
}

Test(relay, a_request_that_may_have_run_behind_a_lost_peer_is_not_refused_as_not_run, .timeout = 20)
{
    CutOffHarness harness(routeOf(RouteKind::NonIdempotent, 1));
    const auto lose = [](Connection &connection, const std::string &) { connection.close(); };
    harness.addPeer(lose);
    harness.addPeer(lose);
    const std::string response = harness.call(ForwardHarness::request("POST", "", "b"));
    cr_expect_eq(ForwardHarness::statusOf(response), 502);
    cr_expect_eq(harness.peerDaemons[0]->requests.size() + harness.peerDaemons[1]->requests.size(),
                 1);
}

Test(relay, a_stream_that_breaks_off_at_a_peer_resumes_at_another_one, .timeout = 20)
{
    CutOffHarness harness(routeOf(RouteKind::EventStream));
    const auto script = [](Connection &connection, const std::string &request) {
        if (contains(request, "Last-Event-Id: 2")) {
            connection.send(streamHead() + serializeChunk(event(3)) + std::string(LastChunk));
            return;
        }
        connection.send(streamHead() + serializeChunk(event(1) + event(2) + "id: 3\nda"));
        connection.socket.shutdownSending();
    };
    harness.addPeer(script);
    harness.addPeer(script);
    const std::string response = harness.call(ForwardHarness::request("POST", "", "b"));
    for (int id = 1; id <= 3; ++id) {
        cr_expect_eq(count(response, event(id)), 1, "event %d", id);
    }
    cr_expect(response.ends_with("0\r\n\r\n"));
}

Test(relay, a_stream_that_the_peer_cannot_resume_ends_without_a_second_response, .timeout = 20)
{
    CutOffHarness harness(routeOf(RouteKind::EventStream));
    const auto script = [](Connection &connection, const std::string &request) {
        if (contains(request, "Last-Event-Id: 1")) {
            connection.send(ForwardHarness::response(502, "", "lost"));
            return;
        }
        connection.send(streamHead() + serializeChunk(event(1)));
        connection.socket.shutdownSending();
    };
    harness.addPeer(script);
    harness.addPeer(script);
    const std::string response = harness.call(ForwardHarness::request("POST", "", "b"));
    cr_expect(contains(response, event(1)));
    cr_expect_eq(count(response, "HTTP/1.1"), 1);
    cr_expect_not(response.ends_with("0\r\n\r\n"));
}

Test(relay, the_peer_notices_when_the_caller_leaves, .timeout = 20)
{
    CutOffHarness harness(routeOf(RouteKind::Idempotent));
    const ScriptedBackend &peer = harness.addPeer([](Connection &, const std::string &) {});
    harness.call(ForwardHarness::request("GET"), 400ms, [&] { harness.disconnectCaller(); });
    cr_expect_eq(peer.requests.size(), 1);
    cr_expect_eq(peer.closed, 1);
}

Test(relay, a_request_of_another_daemon_is_served_and_the_attempts_are_told, .timeout = 20)
{
    ForwardHarness harness;
    harness.origin = RequestOrigin::Daemon;
    harness.publishRoute(routeOf(RouteKind::Idempotent));
    harness.addBackend(respond(200, "Response-Seal: seal\r\n", "hello"));
    harness.addBackend(respond(200, "Response-Seal: seal\r\n", "hello"));
    for (int i = 0; i < 4; ++i) {
        const std::string response =
            harness.call(ForwardHarness::request("GET", relayFields(1, "b0", 1)));
        cr_expect_eq(ForwardHarness::statusOf(response), 200);
        cr_expect(contains(response, "Lycheearch-Relay-Attempts: 2"));
        cr_expect(contains(response, "Lycheearch-Relay-Backend: b1"));
    }
    cr_expect_eq(harness.backends[0]->requests.size(), 0);
    cr_assert_eq(harness.backends[1]->requests.size(), 4);
    cr_expect_not(contains(harness.backends[1]->requests[0], "Lycheearch-Relay"));
}

Test(relay, no_daemon_gains_rights_by_passing_a_request_on, .timeout = 20)
{
    ForwardHarness harness;
    harness.origin = RequestOrigin::Daemon;
    harness.publishRoute(routeOf(RouteKind::Idempotent));
    const ScriptedBackend &backend =
        harness.addBackend(respond(200, "Response-Seal: seal\r\n", "hello"));
    std::string request = ForwardHarness::request("GET", "Tenant: acc\r\n" + relayFields(0, "", 1));
    request.replace(request.find("Api-Key: k"), 10, "Api-Key: z");
    cr_expect_eq(ForwardHarness::statusOf(harness.call(request)), 401);
    cr_expect_eq(backend.requests.size(), 0);
}

Test(relay, a_daemon_with_an_older_configuration_declines, .timeout = 20)
{
    ForwardHarness harness;
    harness.origin = RequestOrigin::Daemon;
    harness.publishRoute(routeOf(RouteKind::Idempotent));
    harness.addBackend(respond(200, "Response-Seal: seal\r\n", "hello"));
    const std::string response =
        harness.call(ForwardHarness::request("GET", relayFields(0, "", 2)));
    cr_expect_eq(ForwardHarness::statusOf(response), 503);
    cr_expect(contains(response, "Lycheearch-Relay-Declined: 1"));
}

Test(relay, a_request_is_passed_on_only_once, .timeout = 20)
{
    CutOffHarness harness(routeOf(RouteKind::Idempotent));
    harness.origin = RequestOrigin::Daemon;
    const ScriptedBackend &peer = harness.addPeer(Serve);
    for (int i = 0; i < 3; ++i) {
        const std::string response =
            harness.call(ForwardHarness::request("GET", relayFields(0, "", 1)));
        cr_expect_eq(ForwardHarness::statusOf(response), 503);
        cr_expect(contains(response, "Lycheearch-Relay-Declined: 1"));
    }
    cr_expect_eq(peer.requests.size(), 0);
}

Test(relay, a_request_whose_attempts_are_used_up_is_not_sent, .timeout = 20)
{
    ForwardHarness harness;
    harness.origin = RequestOrigin::Daemon;
    harness.publishRoute(routeOf(RouteKind::Idempotent, 2));
    const ScriptedBackend &backend =
        harness.addBackend(respond(200, "Response-Seal: seal\r\n", "hello"));
    const std::string response =
        harness.call(ForwardHarness::request("GET", relayFields(2, "", 1)));
    cr_expect_eq(ForwardHarness::statusOf(response), 502);
    cr_expect_eq(backend.requests.size(), 0);
}

namespace {

/// The number in a field of a request; std::nullopt if the request does not have it.
std::optional<int> numberIn(const std::string &request, const std::string &field)
{
    const std::size_t at = request.find("\r\n" + field + ": ");
    if (at == std::string::npos) {
        return std::nullopt;
    }
    return std::stoi(request.substr(at + field.size() + 4));
}

/// Attempts that the daemon which received \p request may make.
int attemptsGranted(const std::string &request, int maxAttempts)
{
    return numberIn(request, "Lycheearch-Relay-Max-Attempts").value_or(maxAttempts)
        - numberIn(request, "Lycheearch-Relay-Attempts").value_or(0);
}

} // namespace

Test(relay, daemons_that_are_lost_one_after_the_other_do_not_exceed_the_attempts, .timeout = 60)
{
    const ScriptedBackend::Script silent = [](Connection &, const std::string &) {};
    const ScriptedBackend::Script lost = [](Connection &connection, const std::string &) {
        connection.close();
    };
    const ScriptedBackend::Script breaksOff = [](Connection &connection, const std::string &) {
        connection.send(streamHead() + serializeChunk(event(1)));
        connection.close();
    };
    for (const int maxAttempts : {2, 3, 4}) {
        for (const auto &script : {silent, lost, breaksOff}) {
            Route route = routeOf(RouteKind::EventStream, maxAttempts);
            route.latencyObjective = 50ms;
            route.gapObjective = 50ms;
            CutOffHarness harness(route);
            for (int i = 0; i < 3; ++i) {
                harness.addPeer(script);
            }
            harness.call(ForwardHarness::request("GET"), 12s);
            int granted = 0;
            for (const auto &peer : harness.peerDaemons) {
                for (const std::string &request : peer->requests) {
                    granted += attemptsGranted(request, maxAttempts);
                }
            }
            cr_expect_leq(granted, maxAttempts);
        }
    }
}

Test(relay, a_request_of_another_daemon_is_not_sent_more_often_than_that_one_granted, .timeout = 20)
{
    ForwardHarness harness;
    harness.origin = RequestOrigin::Daemon;
    harness.publishRoute(routeOf(RouteKind::Idempotent, 3));
    for (int i = 0; i < 3; ++i) {
        harness.addBackend(respond(500, "Response-Seal: seal\r\n", "broken"));
    }
    const std::string response = harness.call(ForwardHarness::request(
        "GET", relayFields(0, "", 1) + "Lycheearch-Relay-Max-Attempts: 2\r\n"));
    cr_expect_eq(ForwardHarness::statusOf(response), 500);
    cr_expect(contains(response, "Lycheearch-Relay-Attempts: 2"));
    cr_expect_eq(harness.received(), 2);
}

Test(relay, an_error_through_another_daemon_is_retried_with_the_attempt_that_is_left, .timeout = 20)
{
    CutOffHarness harness(routeOf(RouteKind::Idempotent, 2));
    int received = 0;
    for (int i = 0; i < 2; ++i) {
        harness.addPeer([&received](Connection &connection, const std::string &request) {
            const std::string fields = "Response-Seal: seal\r\nLycheearch-Relay-Attempts: "
                + std::to_string(++received) + "\r\nLycheearch-Relay-Backend: s1\r\n";
            respond(received == 1 ? 500 : 200, fields, "answer")(connection, request);
        });
    }
    const std::string response = harness.call(ForwardHarness::request("GET"));
    cr_expect_eq(ForwardHarness::statusOf(response), 200);
    cr_expect_eq(received, 2);
}
