#include <criterion/criterion.h>

#include <functional>

#include "GuaranteeChecker.h"

using namespace lycheearch;
using namespace lycheearch::soak;

namespace {

const TimePoint Start = TimePoint() + 100s;

std::size_t violationsAfter(const std::function<void(GuaranteeChecker &)> &steps)
{
    GuaranteeChecker checker;
    checker.onSent("q", RequestKind::NonIdempotent, "acc", Start);
    steps(checker);
    return checker.violations().size();
}

} // namespace

Test(soakGuaranteeChecker, a_request_that_runs_once_and_is_answered_is_no_violation)
{
    cr_expect_eq(violationsAfter([](GuaranteeChecker &checker) {
                     checker.onRun("q", "acc", "s", Start);
                     checker.onAnswer("q", 200, Start);
                 }),
                 0);
}

Test(soakGuaranteeChecker, each_violation_is_reported)
{
    const std::vector<std::pair<const char *, std::function<void(GuaranteeChecker &)>>> cases = {
        {"twice",
         [](GuaranteeChecker &checker) {
             checker.onRun("q", "acc", "s", Start);
             checker.onRun("q", "acc", "t", Start);
         }},
        {"refused after a run",
         [](GuaranteeChecker &checker) {
             checker.onRun("q", "acc", "s", Start);
             checker.onAnswer("q", 503, Start);
         }},
        {"run after a refusal",
         [](GuaranteeChecker &checker) {
             checker.onAnswer("q", 429, Start);
             checker.onRun("q", "acc", "s", Start);
         }},
        {"a wrong account",
         [](GuaranteeChecker &checker) { checker.onRun("q", "other", "s", Start); }},
        {"a request that no caller sent",
         [](GuaranteeChecker &checker) { checker.onRun("z", "acc", "s", Start); }},
        {"a run after the caller disconnected",
         [](GuaranteeChecker &checker) {
             checker.onAbandoned("q", Start);
             checker.onRun("q", "acc", "s", Start + 2s);
         }},
        {"a request to a draining server",
         [](GuaranteeChecker &checker) {
             checker.forbidRequests("s", Start);
             checker.onRun("q", "acc", "s", Start + 1s);
         }},
        {"a server gets more than the rate limit that it named",
         [](GuaranteeChecker &checker) {
             checker.onSent("again", RequestKind::Idempotent, "acc", Start);
             checker.beginRateLimit("s", 1, Start - Duration(10s));
             for (int i = 0; i < 12; ++i) {
                 checker.onRun("again", "acc", "s", Start + i * 300ms);
             }
         }},
        {"a request that was read is cut 201 ms after it was sent",
         [](GuaranteeChecker &checker) {
             checker.onCut("q", ConnectionEnd::Orderly, Start + 201ms);
         }},
        {"a request that runs is cut",
         [](GuaranteeChecker &checker) {
             checker.onRun("q", "acc", "s", Start);
             checker.onCut("q", ConnectionEnd::Reset, Start + 1ms);
         }},
        {"a request that was refused unread runs twice",
         [](GuaranteeChecker &checker) {
             checker.onCut("q", ConnectionEnd::Reset, Start);
             checker.onRun("q", "acc", "s", Start);
             checker.onRun("q", "acc", "s", Start);
         }},
        {"a request that crashes servers ends a seventh one later",
         [](GuaranteeChecker &checker) {
             checker.onCrashingSent("c", Start);
             for (int i = 0; i < 7; ++i) {
                 checker.onRun("c", "acc", "s", Start + i * 4s);
             }
         }},
    };
    for (const auto &[name, steps] : cases) {
        cr_expect_eq(violationsAfter(steps), 1, "%s", name);
    }
}

Test(soakGuaranteeChecker, requests_cut_on_kept_connections_are_counted_by_their_end)
{
    GuaranteeChecker checker;
    for (const char *id : {"d.read", "d.unread", "d.late"}) {
        checker.onSent(id, RequestKind::NonIdempotent, "acc", Start);
        checker.onSentOnKeptConnection(id);
    }
    cr_expect_not(checker.onCut("d.read", ConnectionEnd::Orderly, Start + 200ms));
    cr_expect(checker.onCut("d.unread", ConnectionEnd::Reset, Start + 500ms));
    cr_expect_not(checker.onCut("d.late", ConnectionEnd::Orderly, Start + 300ms));
    const KeptConnectionCounts &counts = checker.keptConnections().at("d.");
    cr_expect_eq(counts.sent, 3);
    cr_expect_eq(counts.dropped, 1);
    cr_expect_eq(counts.unread, 1);
    cr_expect_eq(counts.lost, 1);
    cr_expect_eq(checker.violations().size(), 1);
}

Test(soakGuaranteeChecker, served_share_excludes_abandoned_requests)
{
    GuaranteeChecker checker;
    for (const char *id : {"a", "b", "c"}) {
        checker.onSent(id, RequestKind::Idempotent, "acc", Start);
    }
    checker.onAnswer("a", 200, Start);
    checker.onAnswer("b", 504, Start);
    checker.onAbandoned("c", Start);
    cr_expect_float_eq(checker.servedShare(Start, Start + 1s), 0.5, 0.001);
}
