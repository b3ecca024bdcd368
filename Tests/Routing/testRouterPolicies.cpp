#include <criterion/criterion.h>

#include <deque>
#include <random>

#include "Routing/ModelCascade.h"
#include "Routing/ShutdownPolicy.h"
#include "Routing/WindowedRetryBudget.h"

using namespace lycheearch;

namespace {

const TimePoint Start = TimePoint() + 100s;
const ServiceId Service("s");

Route modelRoute()
{
    Route route;
    route.models = {"small", "medium", "large"};
    route.latencyObjective = 3s;
    return route;
}

EscalationInput makeInput(int confidence)
{
    return {confidence, 1000, 0, 0, 100ms, 10s};
}

} // namespace

Test(modelCascade, it_begins_with_the_smallest_model)
{
    cr_expect_str_eq(ModelCascade().first(modelRoute()).c_str(), "small");
    cr_expect_str_eq(ModelCascade().first(Route()).c_str(), "");
}

Test(modelCascade, a_low_confidence_answer_is_escalated_to_the_largest_model)
{
    const ModelCascade cascade;
    cr_expect(cascade.decideEscalation(modelRoute(), "large", makeInput(10), Start).escalate);
    cr_expect_not(cascade.decideEscalation(modelRoute(), "large", makeInput(90), Start).escalate);
}

Test(modelCascade, the_largest_models_answer_is_final)
{
    cr_expect_str_eq(ModelCascade().next(modelRoute(), "small").value_or("").c_str(), "large");
    cr_expect_not(ModelCascade().next(modelRoute(), "large").has_value());
    cr_expect_not(ModelCascade().next(Route(), "").has_value());
}

Test(modelCascade, a_large_backlog_prevents_escalation)
{
    ModelCascade cascade;
    for (int i = 0; i < 100; ++i) {
        cascade.onFirstEvent("large", 1000, 100ms, Start);
    }
    EscalationInput input = makeInput(10);
    cr_expect(cascade.decideEscalation(modelRoute(), "large", input, Start).escalate);
    input.workTokens = 80'000;
    input.meanBacklog = 60'000;
    cr_expect_not(cascade.decideEscalation(modelRoute(), "large", input, Start).escalate);
}

Test(modelCascade, a_late_answer_is_preferred_to_one_that_is_probably_wrong)
{
    ModelCascade cascade;
    for (int i = 0; i < 100; ++i) {
        cascade.onFirstEvent("large", 1000, 100ms, Start);
    }
    // The request's own prompt takes long to process, while the queues are short.
    EscalationInput input = makeInput(10);
    input.workTokens = 60'000;
    cr_expect(cascade.decideEscalation(modelRoute(), "large", input, Start).escalate);
    input.confidence = 50;
    cr_expect_not(cascade.decideEscalation(modelRoute(), "large", input, Start).escalate);
    // A run that can't end by the deadline is not started.
    input.confidence = 0;
    input.workTokens = 120'000;
    cr_expect_not(cascade.decideEscalation(modelRoute(), "large", input, Start).escalate);
}

Test(modelCascade, confidence_is_converted_to_a_probability_by_the_calibration)
{
    // The lowest confidence at which the small model's answer is kept.
    const auto lowestKeptConfidence = [](const ModelCascade &cascade) {
        int confidence = 0;
        while (cascade.decideEscalation(modelRoute(), "large", makeInput(confidence), Start)
                   .escalate) {
            ++confidence;
        }
        return confidence;
    };
    const int defaultThreshold = lowestKeptConfidence(ModelCascade());
    cr_expect(defaultThreshold > 50 && defaultThreshold < 65, "%d", defaultThreshold);
    cr_expect_eq(lowestKeptConfidence(ModelCascade({30, 4})), defaultThreshold - 20);
    cr_expect(lowestKeptConfidence(ModelCascade({50, 12})) > defaultThreshold);
}

Test(modelCascade, higher_priority_routes_escalate_at_a_larger_backlog)
{
    ModelCascade cascade;
    for (int i = 0; i < 100; ++i) {
        cascade.onFirstEvent("large", 1000, 100ms, Start);
    }
    int lowest = 100;
    for (int priority = 0; priority < 3; ++priority) {
        Route route = modelRoute();
        route.priority = priority;
        EscalationInput input = makeInput(0);
        int thousandTokens = 0;
        for (input.meanBacklog = 0; cascade.decideEscalation(route, "large", input, Start).escalate
             && thousandTokens < 100;
             ++thousandTokens) {
            input.meanBacklog += 1000;
        }
        cr_expect(thousandTokens < lowest,
                  "priority %d escalates up to a backlog of %d thousand tokens", priority,
                  thousandTokens);
        lowest = thousandTokens;
    }
}

Test(modelCascade, an_answer_too_long_for_the_largest_model_is_not_escalated)
{
    ModelCascade cascade;
    for (int i = 0; i < 50; ++i) {
        cascade.onGap("large", 100ms, Start);
    }
    EscalationInput input = makeInput(10);
    input.expectedEvents = 50;
    cr_expect(cascade.decideEscalation(modelRoute(), "large", input, Start).escalate);
    input.expectedEvents = 150;
    cr_expect_not(cascade.decideEscalation(modelRoute(), "large", input, Start).escalate);
}

Test(windowedRetryBudget, all_daemons_together_stay_within_the_retry_bound_under_any_load)
{
    constexpr int Daemons = 8;
    constexpr double Ratio = 0.9;
    constexpr double Slack = 54;
    for (const unsigned seed : {1u, 2u, 3u}) {
        std::mt19937 random(seed);
        std::vector<WindowedRetryBudget> budgets(Daemons,
                                                 WindowedRetryBudget({Ratio, 10s, Slack / 12}));
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
        for (TimePoint now = Start; now < Start + 60s; now += 5ms) {
            WindowedRetryBudget &budget = budgets[random() % Daemons];
            // The load alternates between high and low every 7 s; every attempt fails.
            if (random() % 100 < (now.time_since_epoch() / 7s % 2 == 0 ? 60u : 5u)) {
                budget.onRequest(Service, now);
                requests.push_back(now);
            }
            while (random() % 2 == 0 && budget.tryWithdraw(Service, now)) {
                retries.push_back(now);
            }
            while (!requests.empty() && requests.front() <= now - Duration(20s)) {
                requests.pop_front();
            }
            while (!retries.empty() && retries.front() <= now - Duration(10s)) {
                retries.pop_front();
            }
            const auto recent = std::count_if(requests.begin(), requests.end(), [&](TimePoint at) {
                return at > now - Duration(10s);
            });
            const auto before = static_cast<std::ptrdiff_t>(requests.size()) - recent;
            const double bound = Ratio * static_cast<double>(std::max(recent, before)) + Slack;
            cr_assert(static_cast<double>(retries.size()) <= bound,
                      "seed %u: %zu retries, bound %f", seed, retries.size(), bound);
        }
    }
}

Test(shutdownPolicy, a_stopping_daemon_admits_requests_that_can_finish_in_time)
{
    ShutdownPolicy policy;
    cr_expect(policy.admits(60s, true, Start));
    policy.begin(8s, Start);
    cr_expect(policy.admits(60s, true, Start + 1s));
    cr_expect_not(policy.admits(8s, true, Start + 3s));
    cr_expect(policy.admits(800ms, false, Start + 3s));
    cr_expect_not(policy.admits(800ms, true, Start + 7500ms));
    cr_expect_not(policy.mustTerminate(Start + 7s));
    cr_expect(policy.mustTerminate(Start + 7800ms));
    cr_expect_not(policy.mustExit(Start + 7700ms));
    cr_expect(policy.mustExit(Start + 7900ms));
}

Test(shutdownPolicy, a_request_that_may_outlast_the_stop_is_admitted_only_if_it_can_be_repeated)
{
    for (const Duration grace : {Duration(2s), Duration(4s), Duration(8s), Duration(60s)}) {
        ShutdownPolicy policy;
        policy.begin(grace, Start);
        for (Duration since = Duration::zero(); since < grace; since += 100ms) {
            cr_expect_not(policy.admits(grace, false, Start + since));
            cr_expect(policy.admits(grace, true, Start + since)
                      == (since < Duration(2500ms) && since * 3 < grace));
        }
    }
}

Test(decayingRatio, an_old_estimate_decays_to_the_default_without_observations)
{
    DecayingRatio ratio(0.1, 10, 6s);
    cr_expect_float_eq(ratio.value(Start), 0.1, 1e-9);
    for (int i = 0; i < 100; ++i) {
        ratio.add(2, 1, Start);
    }
    cr_expect(ratio.value(Start) > 1.5);
    cr_expect(ratio.value(Start + 60s) < 0.11);
}

Test(decayingRatio, large_terms_outweigh_small_ones)
{
    DecayingRatio ratio(60e-6, 20'000, 6s);
    // A short prompt that waits 1 s says little about the speed of the engine.
    ratio.add(1, 500, Start);
    ratio.add(1.2, 20'000, Start);
    cr_expect(ratio.value(Start) < 120e-6, "%g", ratio.value(Start));
}
