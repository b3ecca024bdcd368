#include "Forward/ForwardHarness.h"

using namespace lycheearch;

namespace {

using Connection = ScriptedBackend::Connection;
using Verdict = AdmissionDecision::Verdict;

/// Answers as the test says.
class ScriptedGate : public AdmissionGate
{
public:
    AdmissionAnswer ask(const AdmissionAsk &, AdmissionWaiter &waiter, TimePoint) override
    {
        ++asked;
        waiting = answer.verdict == Verdict::Wait ? &waiter : nullptr;
        return answer;
    }
    void leave(AdmissionWaiter &waiter) override
    {
        waiting = waiting == &waiter ? nullptr : waiting;
    }
    void onFirstEvent(const ServiceId &, const std::string &, Duration, Duration,
                      TimePoint) override
    {
    }
    void onEnded(const ServiceId &, SendOutcome, Duration, TimePoint) override { }

    AdmissionAnswer answer;
    AdmissionWaiter *waiting = nullptr;
    int asked = 0;
};

struct GatedHarness : ForwardHarness
{
    GatedHarness()
    {
        Route route;
        route.kind = RouteKind::Idempotent;
        route.timeout = 2s;
        route.latencyObjective = 500ms;
        route.maxAttempts = 2;
        publishRoute(route);
        addBackend([](Connection &connection, const std::string &) {
            connection.send(sealedResponse(200, "hello"));
        });
        context.admission = &gate;
    }

    ScriptedGate gate;
};

} // namespace

Test(admission, a_request_that_waits_is_sent_when_it_is_admitted, .timeout = 20)
{
    GatedHarness harness;
    harness.gate.answer.verdict = Verdict::Wait;
    const std::string response = harness.call(ForwardHarness::request("GET"), 3s, [&] {
        cr_expect_eq(harness.received(), 0);
        cr_assert_not_null(harness.gate.waiting);
        harness.gate.answer.verdict = Verdict::Admit;
        harness.gate.waiting->onAdmissionTurn(harness.loop.now());
    });
    cr_expect_eq(ForwardHarness::statusOf(response), 200);
    cr_expect_eq(harness.received(), 1);
}

Test(admission, a_refused_request_is_answered_as_not_run_with_a_retry_after, .timeout = 20)
{
    GatedHarness harness;
    harness.gate.answer = {Verdict::Refuse, "no place in time", 250ms, {}};
    const std::string response = harness.call(ForwardHarness::request("GET"));
    cr_expect_eq(ForwardHarness::statusOf(response), 503);
    cr_expect(response.find("Retry-After: 0.250") != std::string::npos, "%s", response.c_str());
    cr_expect_eq(harness.received(), 0);
}

Test(admission, a_caller_that_leaves_while_it_waits_is_taken_out, .timeout = 20)
{
    GatedHarness harness;
    harness.gate.answer.verdict = Verdict::Wait;
    harness.call(ForwardHarness::request("GET"), 300ms, [&] {
        cr_assert_not_null(harness.gate.waiting);
        harness.disconnectCaller();
    });
    harness.runLoop();
    cr_expect_null(harness.gate.waiting);
    cr_expect_eq(harness.received(), 0);
}

Test(admission, a_request_that_waits_until_its_deadline_was_not_run, .timeout = 20)
{
    GatedHarness harness;
    harness.gate.answer.verdict = Verdict::Wait;
    const std::string response = harness.call(ForwardHarness::request("GET"));
    cr_expect_eq(ForwardHarness::statusOf(response), 503);
    cr_expect_null(harness.gate.waiting);
}

Test(admission, retries_are_not_asked_about, .timeout = 20)
{
    GatedHarness harness;
    harness.backends.front()->onRequest = [&](Connection &connection, const std::string &) {
        connection.send(harness.received() == 1
                            ? ForwardHarness::response(503, "Not-Executed: 1\r\n", "")
                            : ForwardHarness::sealedResponse(200, "hello"));
    };
    harness.addBackend(harness.backends.front()->onRequest);
    cr_expect_eq(ForwardHarness::statusOf(harness.call(ForwardHarness::request("GET"))), 200);
    cr_expect_eq(harness.gate.asked, 1);
}
