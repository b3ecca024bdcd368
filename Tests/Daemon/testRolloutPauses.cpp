#include <criterion/criterion.h>

#include <cstdlib>
#include <numeric>

#include "RolloutFleet.h"

// Rollouts while one of the daemons that decide is paused, or its writes are delayed.

using namespace lycheearch;

namespace {

constexpr std::size_t Daemons = 3;
/// A bad version gets no request that is sent later than this after its 50th bad answer.
constexpr Duration RollbackBound = 5s;
constexpr int BadAnswersOfBound = 50;

/// A daemon does not run from \p at on for \p span.
struct Pause
{
    Duration at{}; ///< Since the order.
    Duration span{};
};

/// What happens in one generated rollout.
struct Scenario
{
    std::size_t disturbed = 0; ///< The daemon that is paused.
    std::vector<Pause> pauses;
    double delayedWrites = 0; ///< Share of its writes.
    std::optional<Duration> turnsBadAt; ///< Since the order; never if unset.
    double badShare = 0.6;
};

Scenario generated(unsigned seed)
{
    std::mt19937_64 random(seed);
    const auto between = [&](Duration low, Duration high) {
        return low + Duration(static_cast<std::int64_t>(random() % (high - low).count()));
    };
    Scenario scenario;
    scenario.disturbed = random() % 2 == 0 ? 0 : random() % Daemons;
    for (std::size_t i = 0, count = 1 + random() % 4; i < count; ++i) {
        const bool late = random() % 2 == 0;
        scenario.pauses.push_back({between(late ? Duration(18s) : Duration(0s), 26s),
                                   random() % 4 == 0 ? between(5s, 30s) : between(20ms, 5s)});
    }
    scenario.delayedWrites = random() % 2 == 0 ? 0.3 : 0;
    if (random() % 3 != 0) {
        const bool late = random() % 2 == 0;
        scenario.turnsBadAt = between(late ? Duration(18s) : Duration(0s), 26s);
    }
    scenario.badShare = 0.4 + 0.1 * static_cast<double>(random() % 7);
    return scenario;
}

bool pausedAt(const Scenario &scenario, Duration elapsed)
{
    return std::any_of(scenario.pauses.begin(), scenario.pauses.end(), [&](const Pause &pause) {
        return elapsed >= pause.at && elapsed < pause.at + pause.span;
    });
}

/// Runs a rollout beyond its deadline.
class PausedRollout
{
public:
    PausedRollout(const Scenario &scenario, unsigned seed)
        : m_scenario(scenario)
        , m_random(seed)
        , fleet(Daemons, seed, [this](TimePoint at) { return fails(at); })
    {
        if (scenario.delayedWrites > 0) {
            fleet.store(scenario.disturbed).setWriteDelay([this] { return writeDelay(); });
        }
        fleet.runFor(RolloutFleet::FinishWithin + Duration(12s), [this] {
            fleet.setPaused(m_scenario.disturbed,
                            pausedAt(m_scenario, fleet.clock.time - fleet.orderedAt));
        });
    }

private:
    bool fails(TimePoint at)
    {
        return m_scenario.turnsBadAt && fleet.orderedAt != TimePoint()
            && at - fleet.orderedAt >= *m_scenario.turnsBadAt
            && m_unit(m_random) < m_scenario.badShare;
    }
    Duration writeDelay()
    {
        return m_unit(m_random) < m_scenario.delayedWrites
            ? Duration(static_cast<std::int64_t>(m_unit(m_random) * Duration(5s).count()))
            : Duration::zero();
    }

    Scenario m_scenario;
    std::mt19937_64 m_random;
    std::uniform_real_distribution<double> m_unit{0, 1};

public:
    RolloutFleet fleet;
};

/// The seeds of the generated rollouts: LYCHEEARCH_ROLLOUTS of them, from LYCHEEARCH_ROLLOUT_SEED
/// on.
std::vector<unsigned> seeds()
{
    const auto number = [](const char *variable, int otherwise) {
        const char *text = std::getenv(variable);
        return text != nullptr ? std::atoi(text) : otherwise;
    };
    std::vector<unsigned> all(static_cast<std::size_t>(number("LYCHEEARCH_ROLLOUTS", 40)));
    std::iota(all.begin(), all.end(), number("LYCHEEARCH_ROLLOUT_SEED", 1));
    return all;
}

/// Requests to the target that a daemon sent that was never paused, after the bound.
int lateRequests(const RolloutFleet &fleet, std::size_t disturbed)
{
    int bad = 0;
    int late = 0;
    TimePoint fiftieth = TimePoint::max();
    for (const RolloutFleet::Request &request : fleet.requests) {
        bad += request.bad ? 1 : 0;
        if (request.bad && bad == BadAnswersOfBound) {
            fiftieth = request.at;
        }
        const bool counts = request.toTarget && request.daemon != disturbed;
        late += fiftieth != TimePoint::max() && counts && request.at > fiftieth + RollbackBound;
    }
    return late;
}

} // namespace

/// Checks that the version was not completed against evidence that had been stored for so long
/// that any daemon could have acted on it.
void expectNotCompletedAgainstEvidence(RolloutFleet &fleet, const std::string &what)
{
    const auto states = fleet.finalStates();
    if (states.empty() || states.front().state != RolloutState::Complete) {
        return;
    }
    const TimePoint at = states.front().at;
    cr_expect(fleet.storedVerdict(at - RolloutController::StandbyDelay) != VersionVerdict::Worse,
              "%s: completed %lld ms after the order", what.c_str(),
              static_cast<long long>(toMilliseconds(at - fleet.orderedAt)));
}

Test(rolloutPauses, a_rollout_has_one_final_state_whoever_is_paused, .timeout = 600)
{
    for (const unsigned seed : seeds()) {
        PausedRollout rollout(generated(seed), seed);
        cr_expect_eq(rollout.fleet.finalStates().size(), 1, "seed %u: %zu", seed,
                     rollout.fleet.finalStates().size());
    }
}

// review/6: a daemon that was paused completed a rollout on what it had read before the pause.
Test(rolloutPauses, a_daemon_that_was_paused_does_not_complete_a_version_that_has_turned_bad,
     .timeout = 600)
{
    constexpr Duration wakesAt = RolloutFleet::FinishWithin - Duration(300ms);
    for (const Duration span : {Duration(1500ms), Duration(2s), Duration(2500ms)}) {
        for (Duration badFor = 1600ms; badFor <= Duration(4s); badFor += 400ms) {
            Scenario scenario;
            scenario.turnsBadAt = wakesAt - badFor;
            scenario.pauses = {{wakesAt - span, span}};
            PausedRollout rollout(scenario, 1);
            expectNotCompletedAgainstEvidence(rollout.fleet,
                                              "paused for " + std::to_string(toMilliseconds(span))
                                                  + " ms, bad for "
                                                  + std::to_string(toMilliseconds(badFor)));
        }
    }
}

// Related to review/6: a verdict was stored apart from the state, and a completion that had been on
// its way meanwhile was stored after it.
Test(rolloutPauses, no_version_is_completed_against_evidence_that_was_stored_before, .timeout = 600)
{
    for (const unsigned seed : seeds()) {
        PausedRollout rollout(generated(seed), seed);
        expectNotCompletedAgainstEvidence(rollout.fleet, "seed " + std::to_string(seed));
    }
}

Test(rolloutPauses, a_bad_version_gets_no_requests_of_sound_daemons_after_the_bound, .timeout = 600)
{
    for (const unsigned seed : seeds()) {
        const Scenario scenario = generated(seed);
        const bool early = scenario.turnsBadAt
            && *scenario.turnsBadAt <= RolloutFleet::FinishWithin - RollbackBound;
        if (early) {
            PausedRollout rollout(scenario, seed);
            cr_expect_eq(lateRequests(rollout.fleet, scenario.disturbed), 0, "seed %u: %d", seed,
                         lateRequests(rollout.fleet, scenario.disturbed));
        }
    }
}

// Related to review/6: standbys waited a second for a paused daemon, also shortly before the
// deadline.
Test(rolloutPauses, a_good_version_completes_in_time_whoever_is_paused, .timeout = 600)
{
    for (const unsigned seed : seeds()) {
        Scenario scenario = generated(seed);
        scenario.turnsBadAt.reset();
        scenario.delayedWrites = 0;
        PausedRollout rollout(scenario, seed);
        const auto states = rollout.fleet.finalStates();
        cr_assert(!states.empty() && states.front().state == RolloutState::Complete, "seed %u",
                  seed);
        cr_expect(
            states.front().at - rollout.fleet.orderedAt <= RolloutFleet::FinishWithin,
            "seed %u: at %lld ms", seed,
            static_cast<long long>(toMilliseconds(states.front().at - rollout.fleet.orderedAt)));
    }
}
