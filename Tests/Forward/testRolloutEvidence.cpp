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
