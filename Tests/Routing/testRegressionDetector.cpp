#include <criterion/criterion.h>

#include <random>

#include "Routing/RegressionDetector.h"

using namespace lycheearch;

namespace {

const VersionId Version("v");
constexpr int MaxExposedRequests = 50; ///< Requests that may reach a bad version.

/// Answers until a version with this share of bad answers is stopped; \p maxAnswers if it is not.
int answersUntilStop(double badShare, double baseline, int maxAnswers, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::bernoulli_distribution bad(badShare);
    RegressionDetector detector;
    for (int answer = 1; answer <= maxAnswers; ++answer) {
        const bool isBad = bad(random);
        if (detector.observe(Version, {isBad ? 0.0 : 1.0, isBad ? 1.0 : 0.0}, baseline)) {
            return answer;
        }
    }
    return maxAnswers;
}

} // namespace

Test(regressionDetector, a_fully_bad_version_is_stopped_within_a_few_answers)
{
    for (const double baseline : {0.0, 0.02, 0.1, 0.3}) {
        cr_expect_leq(answersUntilStop(1.0, baseline, 1000, 1), MaxExposedRequests);
    }
}

Test(regressionDetector, a_version_as_good_as_the_replaced_one_is_not_stopped)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        cr_expect_eq(answersUntilStop(0.1, 0.1, 50'000, seed), 50'000);
    }
}

Test(regressionDetector, a_version_that_turns_bad_late_is_stopped_as_fast)
{
    RegressionDetector detector;
    cr_expect_not(detector.observe(Version, {100'000, 0}, 0.1));
    int answers = 0;
    while (!detector.observe(Version, {0, 1}, 0.1)) {
        ++answers;
    }
    cr_expect_leq(answers, MaxExposedRequests);
}
