#include "Forward/ForwardHarness.h"

using namespace lycheearch;

namespace {

constexpr int Servers = 8;
constexpr char CrashingPart[] = "bad1";

std::string streamHead(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id
        + "\r\nResponse-Seal: seal\r\nContent-Type: text/event-stream\r\n"
          "Transfer-Encoding: chunked\r\n\r\n";
}

/// A fleet whose servers end each time that they begin to answer a prompt with CrashingPart.
struct CrashingFleet
{
    CrashingFleet()
    {
        Route route;
        route.kind = RouteKind::EventStream;
        route.resumable = true;
        route.timeout = 2s;
        route.latencyObjective = 500ms;
        route.gapObjective = 500ms;
        route.maxAttempts = 3;
        harness.publishRoute(route);
        for (int i = 0; i < Servers; ++i) {
            harness.addBackend(
                [](ScriptedBackend::Connection &connection, const std::string &request) {
                    const std::size_t at = request.find("Attempt-Id: ") + 12;
                    const std::string head = streamHead(request.substr(at, 2));
                    if (request.find(CrashingPart) != std::string::npos) {
                        connection.send(head);
                        connection.close();
                    } else {
                        connection.send(head + serializeChunk("id: 1\ndata: x\n\n")
                                        + std::string(LastChunk));
                    }
                });
        }
    }

    /// Returns the status that the caller receives for a prompt of two shared parts and one of its
    /// own.
    int call(const std::string &firstPart, const std::string &secondPart)
    {
        const std::string id = "q" + std::to_string(m_calls++);
        const std::string own = "c" + id.substr(1);
        const std::string response = harness.call(
            "GET /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id
            + "\r\nApi-Key: k\r\nTime-Budget-Ms: 2000\r\nConnection: close\r\nPrompt-Prefix: "
            + firstPart + ":100," + secondPart + ":50," + own
            + ":10\r\nToken-Count: 160,10\r\nContent-Length: 0\r\n\r\n");
        return ForwardHarness::statusOf(response);
    }

    ForwardHarness harness;

private:
    int m_calls = 0;
};

} // namespace

Test(requestForwarder, prompts_with_a_part_that_crashes_servers_are_refused_and_others_served,
     .timeout = 20)
{
    CrashingFleet fleet;
    cr_assert_eq(fleet.call("f0", "a0"), 200);
    for (int i = 0; i < 4; ++i) {
        cr_expect_neq(fleet.call("f0", CrashingPart), 200);
    }
    fleet.harness.runLoop(1s);
    const std::size_t before = fleet.harness.received();
    for (int i = 0; i < 3; ++i) {
        cr_expect_eq(fleet.call("f0", CrashingPart), 503);
    }
    cr_expect_eq(fleet.harness.received(), before);
    cr_expect_eq(fleet.call("f0", "a1"), 200);
}

Test(requestForwarder, a_request_under_which_two_servers_ended_gets_no_third, .timeout = 20)
{
    CrashingFleet fleet;
    cr_expect_eq(fleet.call("f0", CrashingPart), 502);
    cr_expect_eq(fleet.harness.received(), 2);
}
