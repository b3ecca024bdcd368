#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <random>

#include "Routing/BackendRateLimiter.h"

using namespace lycheearch;

namespace {

const TimePoint Start = TimePoint() + 100s;
/// Difference between wall-clock and monotonic time.
constexpr Duration ClockOffset = std::chrono::hours(450'000);
const InstanceId Limited("limited");
/// Time from the first announcement after which the limit must be kept.
constexpr Duration LearningTime = 3s;
/// A daemon must keep to the limit from so long after the first answer that it was told in.
constexpr Duration TellingTime = 500ms;

FleetView viewOfLimitedServer()
{
    FleetView view;
    BackendEntry report;
    report.id = Limited;
    report.service = ServiceId("desk");
    report.address = {"10.0.0.1", 80};
    report.dataCentre = DataCentreId("here");
    report.slots = 6;
    report.startedAt = 1000;
    view.apply({Offset(0), BackendReported{report}}, Start);
    return view;
}

ServerRun limitedRun()
{
    return {Limited, 1000};
}

/// A daemon's share of the traffic, for an entry that sends most callers to a few daemons.
enum class Traffic { Even, Uneven };

/// Daemons that have more requests than a server with a rate limit takes. Each answer of the server
/// states the limit; the other daemons are told 600 ms later.
class LimitedFleet
{
public:
    LimitedFleet(int daemons, Traffic traffic, unsigned seed)
        : m_view(viewOfLimitedServer())
        , m_random(seed)
    {
        for (int i = 0; i < daemons; ++i) {
            m_daemons.emplace_back(InstanceId("d" + std::to_string(i)));
            m_toldAt.emplace_back();
            m_weights.push_back(traffic == Traffic::Even ? 1.0 : 1.0 / (1 + i));
            setPosition(i, {i, daemons, ClockOffset});
        }
    }

    void setPosition(int daemon, FleetPosition position)
    {
        m_daemons.at(static_cast<std::size_t>(daemon)).setPosition(position);
    }

    /// Plays requests that arrive at \p demand per second for \p time.
    void play(double perSecond, double demand, Duration time)
    {
        std::discrete_distribution<std::size_t> choose(m_weights.begin(), m_weights.end());
        std::exponential_distribution<double> pause(demand);
        const TimePoint end = m_now + time;
        while (m_now < end) {
            m_now += std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(pause(m_random)));
            passOn();
            request(choose(m_random), perSecond);
        }
    }

    /// The most requests in any four seconds of daemons that had been told, from \p from on.
    std::size_t mostInFourSeconds(TimePoint from) const
    {
        std::deque<TimePoint> window;
        std::size_t most = 0;
        for (const TimePoint at : m_sends) {
            if (at < from) {
                continue;
            }
            window.push_back(at);
            while (window.front() <= at - Duration(4s)) {
                window.pop_front();
            }
            most = std::max(most, window.size());
        }
        return most;
    }

    double sentPerSecond(TimePoint from) const
    {
        const auto sent = std::count_if(m_allSends.begin(), m_allSends.end(),
                                        [&](TimePoint at) { return at >= from; });
        return static_cast<double>(sent) / std::chrono::duration<double>(m_now - from).count();
    }

    TimePoint now() const { return m_now; }

private:
    void request(std::size_t daemon, double perSecond)
    {
        BackendRateLimiter &limiter = m_daemons[daemon];
        if (limiter.permission(*m_view.backend(Limited), {}, m_now) != SendPermission::Allowed) {
            return;
        }
        limiter.onSent(limitedRun(), m_now);
        m_allSends.push_back(m_now);
        if (m_toldAt[daemon] != TimePoint() && m_now - m_toldAt[daemon] >= TellingTime) {
            m_sends.push_back(m_now);
        }
        limiter.notices().onRateLimit(limitedRun(), perSecond, m_now);
        if (m_toldAt[daemon] == TimePoint()) {
            m_toldAt[daemon] = m_now;
        }
    }

    void passOn()
    {
        if (m_now - m_passedOnAt < Duration(600ms)) {
            return;
        }
        m_passedOnAt = m_now;
        std::vector<LimitsNotice> news;
        for (BackendRateLimiter &daemon : m_daemons) {
            const auto told = daemon.notices().takeUnpublished(m_now);
            news.insert(news.end(), told.begin(), told.end());
        }
        for (BackendRateLimiter &daemon : m_daemons) {
            for (const LimitsNotice &notice : news) {
                daemon.notices().apply(notice, m_now);
            }
        }
    }

    FleetView m_view;
    std::mt19937 m_random;
    std::vector<BackendRateLimiter> m_daemons;
    std::vector<TimePoint> m_toldAt; ///< First answer of the server to each daemon.
    std::vector<double> m_weights;
    std::vector<TimePoint> m_allSends;
    std::vector<TimePoint> m_sends; ///< Of daemons that had been told TellingTime before, in order.
    TimePoint m_now = Start;
    TimePoint m_passedOnAt = Start;
};

double mostAllowed(double perSecond)
{
    return 1.5 * perSecond * 4 + 5;
}

void expectLimitKept(const LimitedFleet &fleet, double perSecond, TimePoint from, int daemons)
{
    const std::size_t most = fleet.mostInFourSeconds(from);
    cr_expect(static_cast<double>(most) <= mostAllowed(perSecond),
              "%d daemons, limit %.1f: %zu requests in four seconds", daemons, perSecond, most);
}

} // namespace

Test(backendRateLimiter, all_daemons_together_keep_the_rate_limit_that_a_server_named)
{
    for (const int daemons : {1, 3, 8, 76, 195}) {
        for (const double perSecond : {0.4, 1.0, 1.3, 3.0, 10.0, 40.0}) {
            for (const Traffic traffic : {Traffic::Even, Traffic::Uneven}) {
                LimitedFleet fleet(daemons, traffic, 1);
                fleet.play(perSecond, 10 * perSecond + 2 * daemons, 60s);
                expectLimitKept(fleet, perSecond, Start + LearningTime, daemons);
            }
        }
    }
}

Test(backendRateLimiter, a_limited_server_gets_most_of_what_it_takes)
{
    for (const int daemons : {1, 8, 76, 195}) {
        for (const double perSecond : {1.0, 3.0, 10.0}) {
            LimitedFleet fleet(daemons, Traffic::Even, 2);
            fleet.play(perSecond, 4 * perSecond + 2 * daemons, 120s);
            const double sent = fleet.sentPerSecond(Start + 10s);
            cr_expect(sent > 0.7 * perSecond, "%d daemons, limit %.1f: %.2f a second", daemons,
                      perSecond, sent);
        }
    }
}

Test(backendRateLimiter, the_limit_is_kept_by_daemons_whose_clocks_are_wrong)
{
    constexpr int daemons = 8;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        LimitedFleet fleet(daemons, Traffic::Even, seed);
        std::mt19937 random(seed);
        std::uniform_int_distribution<int> skewMs(-5000, 5000);
        for (int i = 0; i < daemons; ++i) {
            const Duration skew = std::chrono::milliseconds(skewMs(random));
            fleet.setPosition(i, {i, daemons, ClockOffset + skew});
        }
        fleet.play(1, 40, 60s);
        expectLimitKept(fleet, 1, Start + LearningTime, daemons);
    }
}

Test(backendRateLimiter, the_limit_is_kept_while_the_daemons_disagree_on_their_number)
{
    for (const int daemons : {8, 76, 195}) {
        LimitedFleet fleet(daemons, Traffic::Even, 3);
        for (int i = 0; i < daemons; i += 2) {
            fleet.setPosition(i, {i, daemons + 1, ClockOffset});
        }
        fleet.play(3, 3 * 10 + 2 * daemons, 30s);
        for (int i = 0; i < daemons; ++i) {
            fleet.setPosition(i, {std::max(0, i - 2), daemons - 2, ClockOffset});
        }
        fleet.play(3, 3 * 10 + 2 * daemons, 30s);
        expectLimitKept(fleet, 3, Start + LearningTime, daemons);
    }
}

Test(backendRateLimiter, a_limit_that_falls_is_kept_soon)
{
    for (const int daemons : {8, 76, 195}) {
        LimitedFleet fleet(daemons, Traffic::Even, 4);
        fleet.play(10, 100 + 2 * daemons, 20s);
        const TimePoint fell = fleet.now();
        fleet.play(1, 100 + 2 * daemons, 30s);
        expectLimitKept(fleet, 10, Start + LearningTime, daemons);
        expectLimitKept(fleet, 1, fell + LearningTime, daemons);
    }
}

Test(backendRateLimiter, no_requests_are_saved_up_for_a_burst)
{
    LimitedFleet fleet(8, Traffic::Even, 5);
    fleet.play(2, 40, 10s);
    fleet.play(2, 0.2, 60s);
    fleet.play(2, 400, 10s);
    expectLimitKept(fleet, 2, Start + LearningTime, 8);
}

Test(backendRateLimiter, a_limit_of_zero_lets_the_server_be_asked_now_and_then)
{
    LimitedFleet fleet(8, Traffic::Even, 6);
    fleet.play(0, 100, 120s);
    expectLimitKept(fleet, 0, Start + LearningTime, 8);
    cr_expect_gt(fleet.sentPerSecond(Start + 10s), 0.05);
}

Test(backendRateLimiter, a_limit_of_any_size_is_no_trap)
{
    const FleetView view = viewOfLimitedServer();
    for (const double perSecond : {1e300, 1e9, 1e-300}) {
        BackendRateLimiter limiter(InstanceId("d"));
        limiter.setPosition({0, 1, ClockOffset});
        limiter.notices().onRateLimit(limitedRun(), perSecond, Start);
        bool allowed = false;
        for (TimePoint now = Start; now < Start + 15s; now += 100ms) {
            allowed |=
                limiter.permission(*view.backend(Limited), {}, now) == SendPermission::Allowed;
        }
        cr_expect(allowed, "%g", perSecond);
    }
}

Test(backendRateLimiter, a_server_that_starts_again_has_no_limit)
{
    FleetView view = viewOfLimitedServer();
    BackendRateLimiter limiter(InstanceId("d"));
    limiter.setPosition({0, 200, ClockOffset});
    limiter.notices().onRateLimit(limitedRun(), 0.1, Start);
    cr_expect(limiter.permission(*view.backend(Limited), {}, Start) == SendPermission::RateLimited);
    BackendState restarted = *view.backend(Limited);
    restarted.report.startedAt = 2000;
    cr_expect(limiter.permission(restarted, {}, Start) == SendPermission::Allowed);
}

Test(backendRateLimiter, the_strictest_of_pause_and_limit_holds)
{
    const FleetView view = viewOfLimitedServer();
    BackendRateLimiter limiter(InstanceId("d"));
    limiter.setPosition({0, 1, ClockOffset});
    limiter.notices().onRateLimit(limitedRun(), 1000, Start);
    cr_expect(limiter.permission(*view.backend(Limited), {}, Start) == SendPermission::Allowed);
    limiter.notices().onPauseRequested(limitedRun(), 5s, Start);
    cr_expect(limiter.permission(*view.backend(Limited), {}, Start + 4s) == SendPermission::Paused);
    cr_expect(limiter.permission(*view.backend(Limited), {}, Start + 6s)
              == SendPermission::Allowed);
}
