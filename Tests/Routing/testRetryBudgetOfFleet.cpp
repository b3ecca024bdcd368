#include <criterion/criterion.h>

#include <deque>
#include <random>
#include <vector>

#include "Daemon/FleetLimits.h"
#include "Routing/WindowedRetryBudget.h"

// The retries of all daemons together, while every attempt fails and is retried if the budget
// allows it.

using namespace lycheearch;

namespace {

constexpr Duration Window = 10s;
constexpr double Ratio = 0.9;
constexpr double Slack = 158;
constexpr int Daemons = 59;
constexpr Duration Step = 2ms;
constexpr Duration TimeToReadMembers = 1s; ///< From a daemon's start.
const TimePoint Start = TimePoint() + 1000s;
const ServiceId Service("s");

/// Times of requests or retries within the last three windows.
class Arrivals
{
public:
    void add(TimePoint now)
    {
        m_times.push_back(now);
        while (m_times.front() <= now - 3 * Window) {
            m_times.pop_front();
        }
    }
    double within(TimePoint from, TimePoint to) const
    {
        const auto first = std::upper_bound(m_times.begin(), m_times.end(), from);
        return static_cast<double>(std::upper_bound(first, m_times.end(), to) - first);
    }

private:
    std::deque<TimePoint> m_times;
};

/// Daemons that start and end, and the limit on all of them: retries in any window are at most
/// Ratio times the requests in it, in the window before it or half a window before it, and Slack.
class RetryingFleet
{
public:
    explicit RetryingFleet(unsigned seed)
        : m_random(seed)
    {
        m_bounds.retryRatio = Ratio;
        m_bounds.retryWindow = Window;
        m_bounds.retrySlack = Slack;
        for (int i = 0; i < Daemons; ++i) {
            m_daemons.push_back(startDaemon(Start - 10 * Window));
        }
    }

    void restart(int daemon, TimePoint now) { m_daemons[index(daemon)] = startDaemon(now); }
    void restartAll(TimePoint now)
    {
        for (int i = 0; i < Daemons; ++i) {
            restart(i, now);
        }
    }
    int anyDaemon() { return static_cast<int>(m_random() % Daemons); }

    /// A request comes with \p probability; each daemon retries \p wanted times if it may.
    void step(double probability, int wanted, TimePoint now)
    {
        Daemon &daemon = m_daemons[index(anyDaemon())];
        if (now - daemon.startedAt >= TimeToReadMembers) {
            daemon.budget.setBounds(knownBounds());
        }
        if (m_random() % 1000 < probability * 1000) {
            daemon.budget.onRequest(Service, now);
            m_requests.add(now);
        }
        for (int i = 0; i < wanted && daemon.budget.tryWithdraw(Service, now); ++i) {
            m_retries.add(now);
        }
        checkLimit(now);
    }

private:
    struct Daemon
    {
        TimePoint startedAt;
        WindowedRetryBudget budget;
    };

    static std::size_t index(int daemon) { return static_cast<std::size_t>(daemon); }
    Daemon startDaemon(TimePoint now) const
    {
        return {now, WindowedRetryBudget(FleetLimits::retryBounds(m_bounds, 0), now)};
    }
    RetryBounds knownBounds() const { return FleetLimits::retryBounds(m_bounds, Daemons); }

    void checkLimit(TimePoint now)
    {
        const double retries = m_retries.within(now - Window, now);
        const double requests = std::max({m_requests.within(now - Window, now),
                                          m_requests.within(now - 3 * Window / 2, now - Window / 2),
                                          m_requests.within(now - 2 * Window, now - Window)});
        cr_assert_leq(retries, Ratio * requests + Slack,
                      "after %.3f s: %.0f retries, %.0f requests",
                      std::chrono::duration<double>(now - Start).count(), retries, requests);
    }

    std::mt19937 m_random;
    RouterBounds m_bounds;
    std::vector<Daemon> m_daemons;
    Arrivals m_requests;
    Arrivals m_retries;
};

} // namespace

Test(retryBudgetOfFleet, daemons_that_start_together_do_not_exceed_it, .timeout = 120)
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        RetryingFleet fleet(seed);
        TimePoint restartAt = Start + 15s;
        for (TimePoint now = Start; now < Start + 60s; now += Step) {
            if (now >= restartAt) {
                fleet.restartAll(now);
                restartAt = now + 7s;
            }
            fleet.step(0.9, 2, now);
        }
    }
}

Test(retryBudgetOfFleet, daemons_that_start_one_after_the_other_do_not_exceed_it, .timeout = 120)
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        RetryingFleet fleet(seed);
        TimePoint restartAt = Start + 15s;
        for (TimePoint now = Start; now < Start + 60s; now += Step) {
            if (now >= restartAt) {
                fleet.restart(fleet.anyDaemon(), now);
                restartAt = now + 50ms;
            }
            fleet.step(0.9, 2, now);
        }
    }
}

Test(retryBudgetOfFleet, bursts_that_a_window_lies_between_do_not_exceed_it, .timeout = 120)
{
    for (const Duration period : {9000ms, 9600ms, 9800ms, 9990ms, 10010ms}) {
        RetryingFleet fleet(1);
        for (TimePoint now = Start; now < Start + 60s; now += Step) {
            const bool burst = (now - Start) % period < 300ms;
            fleet.step(0.9, burst ? 100 : 0, now);
        }
    }
}
