#include <criterion/criterion.h>

#include <random>
#include <string>
#include <vector>

#include "Routing/HedgePolicy.h"
#include "Routing/Hedging.h"

using namespace lycheearch;

// Late requests: what counts as late, when a second server may get one, and the limit.

namespace {

const TimePoint Start = TimePoint() + 1000s;
const ServiceId Service("s");

LatencyKind kindOf(const std::string &route, double work = 0)
{
    return {route, Service, "m", work};
}

/// Records answers that took between half and one and a half times \p mean.
void learn(LatencyTracker &tracker, const LatencyKind &kind, Duration mean, int count,
           TimePoint now = Start)
{
    for (int i = 0; i < count; ++i) {
        const Duration latency = mean / 2 + mean * (i % 10) / 9;
        tracker.onAnswered(tracker.onSent(kind, 10s, now - latency), now);
    }
}

Duration usualOf(const LatencyTracker &tracker, const LatencyKind &kind, TimePoint now = Start)
{
    const auto usual = tracker.usual(kind, UsualShare, now);
    return usual ? usual->latency : Duration::zero();
}

/// A late request that may be sent to a second server.
HedgeInput movableInput()
{
    HedgeInput input;
    input.timeLeft = 5s;
    input.usual = 300ms;
    input.target = HedgeTarget{0.5, 0.5, false, false, false};
    return input;
}

} // namespace

Test(latencyTracker, it_knows_the_quantile_of_a_route_and_size)
{
    LatencyTracker tracker;
    learn(tracker, kindOf("a", 100), 200ms, 100);
    learn(tracker, kindOf("a", 10'000), 2s, 100);
    cr_expect(usualOf(tracker, kindOf("a", 100)) >= 250ms);
    cr_expect(usualOf(tracker, kindOf("a", 100)) <= 360ms);
    cr_expect(usualOf(tracker, kindOf("a", 10'000)) >= 2500ms);
}

Test(latencyTracker, a_daemon_that_has_seen_little_falls_back_to_the_service)
{
    LatencyTracker tracker;
    cr_expect_not(tracker.usual(kindOf("a"), UsualShare, Start).has_value());
    learn(tracker, kindOf("b", 100), 200ms, 50);
    const auto sameSize = tracker.usual(kindOf("a", 100), UsualShare, Start);
    cr_assert(sameSize.has_value());
    cr_expect_str_eq(sameSize->source, "size");
    const auto larger = tracker.usual(kindOf("a", 5000), UsualShare, Start);
    cr_assert(larger.has_value());
    cr_expect_str_eq(larger->source, "service");
    cr_expect(larger->latency > 4 * sameSize->latency);
}

Test(latencyTracker, one_hanging_server_in_ten_does_not_change_what_is_usual)
{
    LatencyTracker tracker;
    for (int i = 0; i < 30; ++i) {
        learn(tracker, kindOf("a"), 200ms, 9);
        tracker.onAbandoned(tracker.onSent(kindOf("a"), 500ms, Start - 4s), Start);
    }
    cr_expect(usualOf(tracker, kindOf("a")) <= 400ms);
    cr_expect(tracker.lateShare(Service, Start) < 0.2);
}

Test(latencyTracker, old_samples_give_way)
{
    LatencyTracker tracker;
    learn(tracker, kindOf("a"), 200ms, 200);
    learn(tracker, kindOf("a"), 1s, 200, Start + 120s);
    cr_expect(usualOf(tracker, kindOf("a"), Start + 120s) >= 1200ms);
}

Test(hedgePolicy, a_request_is_late_when_nearly_all_others_had_their_answer)
{
    const UsualLatency usual{300ms, 100, "kind"};
    cr_expect_eq(moveAfter(usual, {4s, 0ms}).count(), Duration(1s).count(), "the floor");
    cr_expect_eq(moveAfter(usual, {2s, 0ms}).count(), Duration(750ms).count());
    // Another server can still answer within the objective.
    cr_expect_eq(moveAfter(usual, {900ms, 0ms}).count(), Duration(600ms).count());
    cr_expect_eq(moveAfter(usual, {900ms, 100ms}).count(), Duration(500ms).count());
    // But never as early as others usually are.
    cr_expect_eq(moveAfter(usual, {300ms, 100ms}).count(), Duration(450ms).count());
    cr_expect_eq(moveAfter(std::nullopt, {2s, 0ms}).count(), Duration(2s).count());
}

Test(hedgePolicy, a_late_request_stays_where_a_second_server_cannot_help)
{
    cr_expect(hedgeRefusal(movableInput()) == HedgeRefusal::None);
    HedgeInput input = movableInput();
    input.target->serviceLoad = 0.9; // Nine tenths of the places of the service.
    cr_expect(hedgeRefusal(input) == HedgeRefusal::Busy);
    input = movableInput();
    input.target->load = 1.25;
    cr_expect(hedgeRefusal(input) == HedgeRefusal::Busy);
    input = movableInput();
    input.timeLeft = 300ms;
    cr_expect(hedgeRefusal(input) == HedgeRefusal::Deadline);
    input = movableInput();
    input.serversEnded = 1;
    cr_expect(hedgeRefusal(input) == HedgeRefusal::Suspect);
    input = movableInput();
    input.target.reset();
    cr_expect(hedgeRefusal(input) == HedgeRefusal::NoServer);
    for (bool HedgeTarget::*property :
         {&HedgeTarget::cold, &HedgeTarget::namedLimit, &HedgeTarget::brittle}) {
        input = movableInput();
        input.target.value().*property = true;
        cr_expect(hedgeRefusal(input) == HedgeRefusal::Unsuited);
    }
}

// Five requests per second; all servers become slower by a factor of ten at once.
Test(hedgePolicy, hardly_anything_is_sent_twice_when_all_servers_are_slow)
{
    LatencyTracker tracker;
    for (int i = 0; i < 300; ++i) {
        const TimePoint now = Start - (300 - i) * Duration(200ms);
        const Duration latency = 100ms + i % 10 * Duration(20ms);
        tracker.onAnswered(tracker.onSent(kindOf("a"), 1s, now - latency), now);
    }
    int moved = 0;
    int late = 0;
    std::vector<std::pair<LatencyTracker::Ticket, TimePoint>> waiting;
    for (int i = 0; i < 200; ++i) {
        const TimePoint now = Start + i * Duration(200ms);
        const Duration after =
            moveAfter(tracker.usual(kindOf("a"), UsualShare, now), {2s, Duration::zero()});
        if (!waiting.empty() && now - waiting.front().second >= 2s) {
            tracker.onAnswered(waiting.front().first, now);
            waiting.erase(waiting.begin());
        }
        waiting.emplace_back(tracker.onSent(kindOf("a"), after, now), now);
        // Each request that has just become late is decided on.
        for (const auto &[ticket, sentAt] : waiting) {
            if (now - sentAt >= after && now - sentAt < after + 200ms) {
                HedgeInput input = movableInput();
                input.lateShare = tracker.lateShare(Service, now);
                moved += hedgeRefusal(input) == HedgeRefusal::None ? 1 : 0;
                ++late;
            }
        }
    }
    cr_expect(late > 10, "%d", late);
    cr_expect(moved <= 5, "%d of %d", moved, late);
}

// Every request asks for a second server, in the worst case of one moment at all daemons.
Test(hedgeBudget, all_daemons_together_keep_to_the_share)
{
    constexpr double share = 0.1;
    for (const int daemons : {8, 83, 300}) {
        for (const int play : {0, 1, 2, 3, 4, 5}) {
            const bool uneven = play % 2 == 1;
            const TimePoint playStart = Start + play * Duration(5000s);
            std::mt19937 random(7U + static_cast<unsigned>(play));
            std::vector<HedgeBudget> budgets;
            std::vector<double> rates;
            for (int i = 0; i < daemons; ++i) {
                budgets.emplace_back(InstanceId("d" + std::to_string(i)));
                budgets.back().setLimit(share, 10s);
                rates.push_back(!uneven ? 0.5 : i % 10 == 0 ? 16 : 0.2 + 0.1 * (i % 7));
            }
            int requests = 0;
            int sent = 0;
            int sentDaemons = 0;
            std::vector<bool> used(static_cast<std::size_t>(daemons));
            // Requests of 100 s without a late one, then all are late.
            for (int step = 0; step < 1100; ++step) {
                const TimePoint now = playStart + step * Duration(100ms);
                for (std::size_t i = 0; i < budgets.size(); ++i) {
                    if (std::bernoulli_distribution(rates[i] / 10)(random)) {
                        budgets[i].onRequest(Service, now);
                        requests += step >= 1000 ? 1 : 0;
                    }
                    const bool late = step >= 1000;
                    if (late && budgets[i].tryWithdraw(Service, now)) {
                        ++sent;
                        used[i] = true;
                    }
                }
            }
            for (const bool one : used) {
                sentDaemons += one ? 1 : 0;
            }
            std::printf("hedgeBudget: %d daemons, %s: %d of %d requests, by %d daemons\n", daemons,
                        uneven ? "uneven" : "even", sent, requests, sentDaemons);
            // The allowances are whole requests, so a small fleet may be off by a few.
            cr_expect(sent <= share * requests + 3, "%d of %d at %d daemons", sent, requests,
                      daemons);
            cr_expect(sent >= 0.5 * share * requests - 3, "%d of %d at %d daemons", sent, requests,
                      daemons);
        }
    }
}

Test(hedging, it_is_a_part_of_the_retry_budget_and_leaves_a_reserve)
{
    WindowedRetryBudget retries({0.2, 10s, 0});
    Hedging hedging(InstanceId("d"), retries);
    hedging.setSettings({1, 10s, 0.5});
    hedging.setServersShareHosts([](const ServiceId &) { return true; });
    for (int i = 0; i < 100; ++i) {
        retries.onRequest(Service, Start);
        hedging.onRequest(Service, Start);
    }
    int sent = 0;
    while (hedging.tryWithdraw(Service, Start)) {
        ++sent;
    }
    cr_expect_eq(sent, 8, "half of the 17 retries");
    int left = 0;
    while (retries.tryWithdraw(Service, Start)) {
        ++left;
    }
    cr_expect_eq(left, 9);
}

Test(hedging, it_is_off_unless_a_share_is_set_and_the_service_calls_for_it)
{
    WindowedRetryBudget retries({0.2, 10s, 0});
    Hedging hedging(InstanceId("d"), retries);
    cr_expect_not(hedging.enabled(Service));
    hedging.setSettings({0.1, 10s, 0.5});
    cr_expect_not(hedging.enabled(Service));
    hedging.setServersShareHosts([](const ServiceId &service) { return service == Service; });
    cr_expect(hedging.enabled(Service));
    cr_expect_not(hedging.enabled(ServiceId("other")));
    hedging.setSettings({0, 10s, 0.5});
    cr_expect_not(hedging.enabled(Service));
}

Test(unansweredMoves, a_server_without_an_answer_between_two_moves_hangs)
{
    UnansweredMoves moves;
    const InstanceId server("b");
    cr_expect_not(moves.onMoved(server, Start, Start + 500ms));
    moves.onAnswered(server);
    cr_expect_not(moves.onMoved(server, Start + 1s, Start + 1500ms));
    cr_expect(moves.onMoved(server, Start + 2s, Start + 2500ms));
    cr_expect(moves.silence(server, Start + 3s) == Duration(2s));
}

Test(unansweredMoves, late_requests_far_apart_say_nothing_together)
{
    UnansweredMoves moves;
    const InstanceId server("b");
    cr_expect_not(moves.onMoved(server, Start, Start + 500ms));
    cr_expect_not(moves.onMoved(server, Start + 600s, Start + 600s + 500ms));
    cr_expect(moves.silence(server, Start + 600s + 500ms) == Duration(500ms));
}
