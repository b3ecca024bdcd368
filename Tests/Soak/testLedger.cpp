#include <criterion/criterion.h>

#include <functional>

#include "Ledger.h"

using namespace lycheearch;
using namespace lycheearch::soak;

namespace {

const TimePoint Start = TimePoint() + 100s;

std::size_t brokenAfter(const std::function<void(Ledger &)> &play)
{
    Ledger ledger;
    ledger.onSent("q", Kind::Once, "acc", Start);
    play(ledger);
    return ledger.broken().size();
}

} // namespace

Test(soakLedger, a_request_that_runs_once_and_is_answered_breaks_nothing)
{
    cr_expect_eq(brokenAfter([](Ledger &ledger) {
                     ledger.onRun("q", "acc", "s", Start);
                     ledger.onAnswer("q", 200, Start);
                 }),
                 0);
}

Test(soakLedger, each_broken_promise_is_found)
{
    const std::vector<std::pair<const char *, std::function<void(Ledger &)>>> plays = {
        {"twice",
         [](Ledger &ledger) {
             ledger.onRun("q", "acc", "s", Start);
             ledger.onRun("q", "acc", "t", Start);
         }},
        {"refused after a run",
         [](Ledger &ledger) {
             ledger.onRun("q", "acc", "s", Start);
             ledger.onAnswer("q", 503, Start);
         }},
        {"run after a refusal",
         [](Ledger &ledger) {
             ledger.onAnswer("q", 429, Start);
             ledger.onRun("q", "acc", "s", Start);
         }},
        {"a wrong account", [](Ledger &ledger) { ledger.onRun("q", "other", "s", Start); }},
        {"a request that no caller sent",
         [](Ledger &ledger) { ledger.onRun("z", "acc", "s", Start); }},
        {"a run after the caller disconnected",
         [](Ledger &ledger) {
             ledger.onLeft("q", Start);
             ledger.onRun("q", "acc", "s", Start + 2s);
         }},
        {"a request to a draining server",
         [](Ledger &ledger) {
             ledger.forbid("s", Start);
             ledger.onRun("q", "acc", "s", Start + 1s);
         }},
    };
    for (const auto &[name, play] : plays) {
        cr_expect_eq(brokenAfter(play), 1, "%s", name);
    }
}

Test(soakLedger, the_share_served_leaves_out_callers_that_left)
{
    Ledger ledger;
    for (const char *id : {"a", "b", "c"}) {
        ledger.onSent(id, Kind::Idempotent, "acc", Start);
    }
    ledger.onAnswer("a", 200, Start);
    ledger.onAnswer("b", 504, Start);
    ledger.onLeft("c", Start);
    cr_expect_float_eq(ledger.served(Start, Start + 1s), 0.5, 0.001);
}
