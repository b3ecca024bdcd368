#include "Forward/ForwardHarness.h"

using namespace lycheearch;

namespace {

ResponseMetadata decode(const std::string &load)
{
    HttpResponseHead head;
    head.status = 200;
    head.fields.add("Instance-Load", load);
    return platform::PlatformHeaderCodec().decodeResponse(head);
}

Route route()
{
    Route route;
    route.kind = RouteKind::Idempotent;
    route.timeout = 2s;
    route.latencyObjective = 500ms;
    route.maxAttempts = 1;
    return route;
}

ScriptedBackend::Script serveWith(const std::string &load)
{
    return [load](ScriptedBackend::Connection &connection, const std::string &) {
        connection.send(ForwardHarness::response(
            200, "Response-Seal: seal\r\nInstance-Load: " + load + "\r\n", "hello"));
    };
}

} // namespace

Test(reportedLoad, figures_are_read_as_far_as_they_are_known)
{
    struct Case
    {
        const char *text;
        bool counts;
        std::optional<double> hostSlowness;
        bool unreadable;
    };
    const std::vector<Case> cases = {{"3,1,8", true, std::nullopt, false},
                                     {"3,1,8,250", true, 2.5, false},
                                     {" 3 , 1 , 8 , 70 ", true, 0.7, false},
                                     {"3,1,8,112.5", true, 1.125, false},
                                     {"3,1,8,250,9", true, 2.5, false},
                                     {"3,1,8,250,x,-1", true, 2.5, false},
                                     {"3,1,8,", true, std::nullopt, false},
                                     {"3,1,8,-250", true, std::nullopt, true},
                                     {"3,1,8,fast", true, std::nullopt, true},
                                     {"3,1,8,nan", true, std::nullopt, true},
                                     {"3,1,8,inf", true, std::nullopt, true},
                                     {"3,1,8,1e300", true, std::nullopt, true},
                                     {"3,1,8,0", true, std::nullopt, true},
                                     {"3,1,8,,5", true, std::nullopt, true},
                                     {"3,1,8,250%", true, std::nullopt, true},
                                     {"3,1", false, std::nullopt, true},
                                     {"", false, std::nullopt, true},
                                     {"3,1,-8,250", false, std::nullopt, true},
                                     {"3,x,8,250", false, std::nullopt, true},
                                     {"3.5,1,8", false, std::nullopt, true},
                                     {"99999999999,1,8", false, std::nullopt, true}};
    for (const Case &one : cases) {
        const ResponseMetadata metadata = decode(one.text);
        cr_expect_eq(metadata.load.has_value(), one.counts, "%s", one.text);
        cr_expect_eq(metadata.unreadableLoad.empty() && one.text[0] != 0,
                     !one.unreadable && one.text[0] != 0, "%s", one.text);
        if (metadata.load) {
            cr_expect(metadata.load->running == 3 && metadata.load->waiting == 1
                          && metadata.load->slots == 8,
                      "%s", one.text);
            cr_expect(metadata.load->hostSlowness == one.hostSlowness, "%s", one.text);
        }
    }
}

Test(reportedLoad, a_server_on_a_slow_host_gets_fewer_requests, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route());
    const ScriptedBackend &slow = harness.addBackend(serveWith("0,0,4,400"));
    const ScriptedBackend &usual = harness.addBackend(serveWith("0,0,4,100,7"));
    for (int i = 0; i < 30; ++i) {
        const std::string answer = harness.call(ForwardHarness::request("GET"));
        cr_expect_eq(ForwardHarness::statusOf(answer), 200);
    }
    cr_expect(slow.requests.size() <= 6, "%zu", slow.requests.size());
    cr_expect(usual.requests.size() >= 24, "%zu", usual.requests.size());
}

Test(reportedLoad, an_unreadable_figure_is_noted_once_and_its_request_is_served, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route());
    harness.addBackend(serveWith("0,0,4,soon"));
    for (int i = 0; i < 3; ++i) {
        const std::string answer = harness.call(ForwardHarness::request("GET"));
        cr_expect_eq(ForwardHarness::statusOf(answer), 200);
    }
    cr_expect_not(harness.picker.onUnreadableLoad(InstanceId("b0")));
    cr_expect(harness.picker.onUnreadableLoad(InstanceId("b1")));
}
