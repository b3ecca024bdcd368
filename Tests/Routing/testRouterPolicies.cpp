#include <criterion/criterion.h>

#include <deque>
#include <random>

#include "Routing/ModelCascade.h"
#include "Routing/RetryAllowance.h"
#include "Routing/StopPolicy.h"

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

CascadeQuestion question(int confidence)
{
    return {confidence, 1000, 0, 0, 100ms, 10s};
}

} // namespace

Test(modelCascade, it_begins_with_the_smallest_model)
{
    cr_expect_str_eq(ModelCascade().first(modelRoute()).c_str(), "small");
    cr_expect_str_eq(ModelCascade().first(Route()).c_str(), "");
}

Test(modelCascade, a_doubtful_answer_is_dropped_for_the_largest_model)
{
    const ModelCascade cascade;
    cr_expect(cascade.choose(modelRoute(), "large", question(10), Start).escalate);
    cr_expect_not(cascade.choose(modelRoute(), "large", question(90), Start).escalate);
}

Test(modelCascade, the_largest_models_answer_is_always_taken)
{
    cr_expect_str_eq(ModelCascade().next(modelRoute(), "small").value_or("").c_str(), "large");
    cr_expect_not(ModelCascade().next(modelRoute(), "large").has_value());
    cr_expect_not(ModelCascade().next(Route(), "").has_value());
}

Test(modelCascade, work_that_waits_at_the_engines_leaves_small_answers_in_place)
{
    ModelCascade cascade;
    for (int i = 0; i < 100; ++i) {
        cascade.onFirstEvent("large", 1000, 100ms, Start);
    }
    CascadeQuestion asked = question(10);
    cr_expect(cascade.choose(modelRoute(), "large", asked, Start).escalate);
    asked.workTokens = 80'000;
    asked.meanBacklog = 60'000;
    cr_expect_not(cascade.choose(modelRoute(), "large", asked, Start).escalate);
}

Test(modelCascade, a_late_right_answer_goes_before_one_that_is_surely_wrong)
{
    ModelCascade cascade;
    for (int i = 0; i < 100; ++i) {
        cascade.onFirstEvent("large", 1000, 100ms, Start);
    }
    // The request's own prompt takes long to process, while the queues are short.
    CascadeQuestion asked = question(10);
    asked.workTokens = 60'000;
    cr_expect(cascade.choose(modelRoute(), "large", asked, Start).escalate);
    asked.confidence = 50;
    cr_expect_not(cascade.choose(modelRoute(), "large", asked, Start).escalate);
    // A run that can't end by the deadline is not started.
    asked.confidence = 0;
    asked.workTokens = 120'000;
    cr_expect_not(cascade.choose(modelRoute(), "large", asked, Start).escalate);
}

Test(modelCascade, confidence_is_read_as_a_chance_by_its_scale)
{
    // The lowest confidence at which the small model's answer is kept.
    const auto keptFrom = [](const ModelCascade &cascade) {
        int confidence = 0;
        while (cascade.choose(modelRoute(), "large", question(confidence), Start).escalate) {
            ++confidence;
        }
        return confidence;
    };
    const int usual = keptFrom(ModelCascade());
    cr_expect(usual > 50 && usual < 65, "%d", usual);
    cr_expect_eq(keptFrom(ModelCascade({30, 4})), usual - 20);
    cr_expect(keptFrom(ModelCascade({50, 12})) > usual);
}

Test(modelCascade, the_most_important_routes_give_way_last)
{
    ModelCascade cascade;
    for (int i = 0; i < 100; ++i) {
        cascade.onFirstEvent("large", 1000, 100ms, Start);
    }
    int lowest = 100;
    for (int priority = 0; priority < 3; ++priority) {
        Route route = modelRoute();
        route.priority = priority;
        CascadeQuestion asked = question(0);
        int thousands = 0;
        for (asked.meanBacklog = 0;
             cascade.choose(route, "large", asked, Start).escalate && thousands < 100;
             ++thousands) {
            asked.meanBacklog += 1000;
        }
        cr_expect(thousands < lowest, "priority %d escalates up to a backlog of %d thousand tokens",
                  priority, thousands);
        lowest = thousands;
    }
}

Test(modelCascade, an_answer_too_long_for_the_largest_model_stays_with_the_small_one)
{
    ModelCascade cascade;
    for (int i = 0; i < 50; ++i) {
        cascade.onGap("large", 100ms, Start);
    }
    CascadeQuestion asked = question(10);
    asked.expectedEvents = 50;
    cr_expect(cascade.choose(modelRoute(), "large", asked, Start).escalate);
    asked.expectedEvents = 150;
    cr_expect_not(cascade.choose(modelRoute(), "large", asked, Start).escalate);
}

Test(retryAllowance, all_daemons_together_keep_the_bound_under_any_load)
{
    constexpr int Daemons = 8;
    constexpr double Ratio = 0.9;
    constexpr double Slack = 54;
    for (const unsigned seed : {1u, 2u, 3u}) {
        std::mt19937 random(seed);
        std::vector<RetryAllowance> allowances(Daemons, RetryAllowance({Ratio, 10s, Slack / 12}));
        std::deque<TimePoint> requests;
        std::deque<TimePoint> repeats;
        for (TimePoint now = Start; now < Start + 60s; now += 5ms) {
            RetryAllowance &allowance = allowances[random() % Daemons];
            // The load alternates between high and low every 7 s; every attempt fails.
            if (random() % 100 < (now.time_since_epoch() / 7s % 2 == 0 ? 60u : 5u)) {
                allowance.onRequest(Service, now);
                requests.push_back(now);
            }
            while (random() % 2 == 0 && allowance.withdraw(Service, now)) {
                repeats.push_back(now);
            }
            while (!requests.empty() && requests.front() <= now - Duration(20s)) {
                requests.pop_front();
            }
            while (!repeats.empty() && repeats.front() <= now - Duration(10s)) {
                repeats.pop_front();
            }
            const auto recent = std::count_if(requests.begin(), requests.end(), [&](TimePoint at) {
                return at > now - Duration(10s);
            });
            const auto before = static_cast<std::ptrdiff_t>(requests.size()) - recent;
            const double bound = Ratio * static_cast<double>(std::max(recent, before)) + Slack;
            cr_assert(static_cast<double>(repeats.size()) <= bound,
                      "seed %u: %zu repeats, bound %f", seed, repeats.size(), bound);
        }
    }
}

Test(stopPolicy, a_stopping_daemon_takes_on_what_can_end_in_time)
{
    StopPolicy stop;
    cr_expect(stop.admits(60s, Start));
    stop.begin(8s, Start);
    cr_expect(stop.admits(60s, Start + 1s));
    cr_expect_not(stop.admits(8s, Start + 3s));
    cr_expect(stop.admits(800ms, Start + 3s));
    cr_expect_not(stop.admits(800ms, Start + 7500ms));
    cr_expect_not(stop.mustEnd(Start + 7s));
    cr_expect(stop.mustEnd(Start + 7800ms));
}

Test(decayingRatio, an_estimate_from_a_bad_time_is_given_up_without_new_ones)
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
    // A wait of 1 s before a short prompt says little about the speed.
    ratio.add(1, 500, Start);
    ratio.add(1.2, 20'000, Start);
    cr_expect(ratio.value(Start) < 120e-6, "%g", ratio.value(Start));
}
