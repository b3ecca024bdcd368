#include "Forward/ForwardScripts.h"

// Servers and other daemons whose answers are no HTTP.

using namespace lycheearch;

namespace {

const std::string Fields = "Attempt-Id: q1\r\nResponse-Seal: s\r\nContent-Length: 7\r\n";

const std::vector<std::string> MalformedAnswers = {
    "HTTP/1.1 000 X\r\n" + Fields + "\r\nfrom it",
    "HTTP/1.1 099 X\r\n" + Fields + "\r\nfrom it",
    "HTTP/1.1 600 X\r\n" + Fields + "\r\nfrom it",
    "HTTP/1.1 200 OK\r\nX Name: 1\r\n" + Fields + "\r\nfrom it",
    "HTTP/1.1 200 OK\r\nX-Name : 1\r\n" + Fields + "\r\nfrom it",
    "HTTP/1.1 200 OK\r\nX\1Name: 1\r\n" + Fields + "\r\nfrom it",
    "HTTP/1.1 200 OK\r\n" + Fields + " Transfer-Encoding: chunked\r\n\r\nfrom it",
    "HTTP/1.1 200 OK\r\n" + Fields + "Transfer-Encoding : chunked\r\n\r\nfrom it",
};

ScriptedBackend::Script answerWith(const std::string &answer)
{
    return [answer](Connection &connection, const std::string &) { connection.send(answer); };
}

void expectBadGateway(const std::string &received, const std::string &answer)
{
    cr_expect_eq(statusOf(received), 502, "%s\nfor\n%s", received.c_str(), answer.c_str());
    cr_expect_not(contains(received, "from it"), "%s", answer.c_str());
}

} // namespace

Test(malformedAnswers, one_of_a_server_is_not_delivered, .timeout = 60)
{
    for (const std::string &answer : MalformedAnswers) {
        ForwardHarness harness;
        harness.publishRoute(route(RouteKind::NonIdempotent, 1));
        harness.addBackend(answerWith(answer));
        expectBadGateway(harness.call(ForwardHarness::request("POST", "", "b")), answer);
    }
}

Test(malformedAnswers, one_of_another_daemon_is_not_delivered, .timeout = 60)
{
    for (const std::string &answer : MalformedAnswers) {
        ForwardHarness harness;
        harness.publishRoute(route(RouteKind::NonIdempotent, 1));
        constexpr int servers = 4;
        for (int i = 0; i < servers; ++i) {
            harness.addBackend({}).stopListening();
        }
        harness.addPeer(answerWith(answer));
        expectBadGateway(harness.call(ForwardHarness::request("POST", "", "b")), answer);
    }
}

Test(malformedAnswers, an_idempotent_request_is_served_by_another_server, .timeout = 60)
{
    for (const std::string &answer : MalformedAnswers) {
        ForwardHarness harness;
        harness.publishRoute(route(RouteKind::Idempotent, 2));
        int received = 0;
        for (int i = 0; i < 2; ++i) {
            harness.addBackend([&received, &answer](Connection &connection, const std::string &) {
                connection.send(received++ == 0 ? answer
                                                : ForwardHarness::sealedResponse(200, "good"));
            });
        }
        const std::string response = harness.call(ForwardHarness::request("GET"));
        cr_expect_eq(statusOf(response), 200, "%s", answer.c_str());
        cr_expect(response.ends_with("good"), "%s", answer.c_str());
    }
}
