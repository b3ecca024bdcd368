#include "Forward/ForwardScripts.h"

// What the outcome of a request says about the version of the server that ran it.

using namespace lycheearch;

namespace {

const ServiceId Service("s");

/// A data path with a server of version v1 while v2 is ordered.
struct OrderedRollout : ForwardHarness
{
    OrderedRollout()
    {
        publishRoute(route(RouteKind::NonIdempotent, 1));
        view.apply({Offset(0), RolloutOrdered{Service, VersionId("v2"), 24s}}, loop.now());
        rollouts.followOrders(view, loop.now());
    }

    /// Outcomes of v1 so far.
    VersionCounts counts()
    {
        return rollouts.evidence(InstanceId("self"), view, loop.now()).front().otherCounts;
    }
};

} // namespace

// Requests that take longer than their route allows counted as failures of the version, so that
// they hid a version whose requests fail.
Test(rolloutEvidence, a_request_without_an_answer_at_its_deadline_counts_with_its_wait_only,
     .timeout = 20)
{
    OrderedRollout rollout;
    rollout.addBackend([](Connection &, const std::string &) {});
    cr_expect_eq(statusOf(rollout.call(ForwardHarness::request("POST", "", "b"))), 504);
    const VersionCounts counts = rollout.counts();
    cr_expect_eq(counts.sent, 1);
    cr_expect_eq(counts.answers(), 0);
    cr_expect_eq(counts.answerDelays.total(), 1);
    cr_expect(counts.answerDelays.observed == DelayHistogram::Counts{});
}

Test(rolloutEvidence, a_server_that_gives_up_at_the_deadline_counts_with_its_wait_only,
     .timeout = 20)
{
    OrderedRollout rollout;
    rollout.addBackend([&](Connection &connection, const std::string &) {
        rollout.loop.at(rollout.loop.now() + 790ms, [&connection](TimePoint) {
            connection.send(ForwardHarness::sealedResponse(504, "late"));
        });
    });
    cr_expect_eq(statusOf(rollout.call(ForwardHarness::request("POST", "", "b"))), 504);
    const VersionCounts counts = rollout.counts();
    cr_expect_eq(counts.answers(), 0);
    cr_expect_eq(counts.answerDelays.total(), 1);
}

Test(rolloutEvidence, failures_before_the_deadline_count_as_bad, .timeout = 20)
{
    const std::vector<std::string> failures = {
        ForwardHarness::sealedResponse(500, "broken"), ForwardHarness::sealedResponse(504, "early"),
        "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nResponse-Seal: s\r\nContent-Length: 50\r\n\r\nshort"};
    for (const std::string &failure : failures) {
        OrderedRollout rollout;
        rollout.addBackend([&](Connection &connection, const std::string &) {
            connection.send(failure);
            connection.socket.shutdownSending();
        });
        rollout.call(ForwardHarness::request("POST", "", "b"));
        cr_expect_eq(rollout.counts().bad, 1, "%s", failure.c_str());
    }
}

Test(rolloutEvidence, an_answer_that_is_cut_off_at_the_deadline_counts_as_bad, .timeout = 20)
{
    OrderedRollout rollout;
    rollout.addBackend([](Connection &connection, const std::string &) {
        connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nResponse-Seal: s\r\n"
                        "Content-Length: 50\r\n\r\nshort");
    });
    rollout.call(ForwardHarness::request("POST", "", "b"));
    cr_expect_eq(rollout.counts().bad, 1);
}

// Requests that fail at any server, as a wrong account's, counted once for each attempt.
Test(rolloutEvidence, a_request_that_fails_at_every_server_counts_once, .timeout = 20)
{
    OrderedRollout rollout;
    rollout.publishRoute(route(RouteKind::Idempotent, 3));
    rollout.addBackend(fail);
    rollout.addBackend(fail);
    rollout.addBackend(fail);
    cr_expect_eq(statusOf(rollout.call(ForwardHarness::request("GET"))), 500);
    cr_expect_eq(rollout.received(), 3);
    const VersionCounts counts = rollout.counts();
    cr_expect_eq(counts.sent, 3);
    cr_expect_eq(counts.bad, 1);
    cr_expect_eq(counts.inFlight, 0);
}

Test(rolloutEvidence, an_attempt_after_a_refusal_counts, .timeout = 20)
{
    OrderedRollout rollout;
    rollout.publishRoute(route(RouteKind::Idempotent, 3));
    int sends = 0;
    const auto script = [&](Connection &connection, const std::string &request) {
        ++sends == 1 ? refuse(connection, request) : serve(connection, request);
    };
    rollout.addBackend(script);
    rollout.addBackend(script);
    cr_expect_eq(statusOf(rollout.call(ForwardHarness::request("GET"))), 200);
    cr_expect_eq(rollout.counts().good, 1);
}
