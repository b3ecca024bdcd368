#include "Forward/ForwardHarness.h"

using namespace lycheearch;

namespace {

constexpr int Servers = 8;
constexpr char CrashingBody[] = "crash";

/// A fleet whose servers end each time that they begin to run a request with CrashingBody, before
/// any answer.
struct CrashingServers
{
    explicit CrashingServers(RouteKind kind)
    {
        Route route;
        route.kind = kind;
        route.timeout = 2s;
        route.latencyObjective = 500ms;
        route.maxAttempts = 4;
        harness.publishRoute(route);
        for (int i = 0; i < Servers; ++i) {
            harness.addBackend(
                [](ScriptedBackend::Connection &connection, const std::string &request) {
                    if (request.find(CrashingBody) != std::string::npos) {
                        connection.close();
                        return;
                    }
                    const std::size_t id = request.find("Attempt-Id: ") + 12;
                    connection.send(
                        ForwardHarness::response(200, "Response-Seal: seal\r\n", "hello",
                                                 request.substr(id, request.find('\r', id) - id)));
                });
        }
    }

    /// Returns the status that the caller receives. Each arrival has a new id.
    int call(const std::string &body, const std::string &fields = "")
    {
        const std::string response = harness.call(
            "POST /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: q" + std::to_string(m_calls++)
            + "\r\n" + fields
            + "Api-Key: k\r\nTime-Budget-Ms: 2000\r\nConnection: close\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body);
        return ForwardHarness::statusOf(response);
    }

    ForwardHarness harness;

private:
    int m_calls = 0;
};

} // namespace

Test(requestForwarder, a_request_under_which_three_servers_ended_is_refused_and_others_served,
     .timeout = 20)
{
    for (const RouteKind kind : {RouteKind::Idempotent, RouteKind::NonIdempotent}) {
        CrashingServers fleet(kind);
        cr_expect_eq(fleet.call("sound"), 200);
        for (int i = 0; i < 4; ++i) {
            cr_expect_neq(fleet.call(CrashingBody), 200);
        }
        fleet.harness.runLoop(1s);
        const std::size_t before = fleet.harness.received();
        for (int i = 0; i < 3; ++i) {
            cr_expect_eq(fleet.call(CrashingBody), 503);
        }
        cr_expect_eq(fleet.harness.received(), before);
        cr_expect_eq(fleet.call("sound"), 200);
        cr_expect_eq(fleet.call("another"), 200);
    }
}

Test(requestForwarder, a_request_under_which_two_servers_ended_without_an_answer_gets_no_third,
     .timeout = 20)
{
    CrashingServers fleet(RouteKind::Idempotent);
    cr_expect_eq(fleet.call(CrashingBody), 502);
    cr_expect_eq(fleet.harness.received(), 2);
}

// Guards against a request that crashes servers each time it comes, with a last part of its own.
Test(requestForwarder, a_crashing_request_is_refused_although_its_last_prompt_part_is_new_each_time,
     .timeout = 30)
{
    CrashingServers fleet(RouteKind::Idempotent);
    int part = 0;
    const auto call = [&](const std::string &body) {
        return fleet.call(body, "Prompt-Prefix: 5c1e:800,e" + std::to_string(++part) + ":250\r\n");
    };
    cr_expect_eq(call("sound"), 200);
    for (int i = 0; i < 3; ++i) {
        cr_expect_neq(call(CrashingBody), 200);
        fleet.harness.runLoop(1100ms);
    }
    const std::size_t before = fleet.harness.received();
    for (int i = 0; i < 3; ++i) {
        cr_expect_eq(call(CrashingBody), 503);
    }
    cr_expect_eq(fleet.harness.received(), before);
    cr_expect_eq(call("sound"), 200);
    cr_expect_eq(call("another"), 200);
}
