#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "Routing/BackendPicker.h"

using namespace lycheearch;

namespace {

const DataCentreId Here("here");
const DataCentreId There("there");
const ServiceId Engines("engines");
const std::string Model("large");
const TimePoint Start = TimePoint() + 100s;
constexpr double TokensPerSecond = 21'000; ///< Of a usual engine.
constexpr Duration Gap = 50ms; ///< Between two events of a usual engine.
constexpr int Events = 30;
constexpr Duration ExchangePeriod = 200ms;
constexpr Duration ForwardPeriod = 1s;

Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

struct Play
{
    int daemons = 8;
    bool reported = true; ///< The engines report how slow their hosts are.
    double requestsPerSecond = 150;
    std::vector<double> speeds{0.7, 0.7, 1.7}; ///< Time that an engine takes, relative to usual.
    double slowMoment = 2.5; ///< The same of a slow moment of a host.
    double slowShare = 0.15; ///< Of the time.
    double spellSeconds = 0.6;
    Duration length = 40s;
    Duration feedLostAt = 1000s; ///< From then on, the daemons tell each other nothing.
    Duration restartAt = 1000s; ///< Engine 2 starts again with the usual speed.
};

/// Engines that prefill one prompt at a time, on hosts that are slow at times, and daemons that
/// exchange loads, prefixes and speeds.
class EngineFleet
{
public:
    static constexpr int EngineCount = 60;

    explicit EngineFleet(Play play)
        : m_play(std::move(play))
    {
        for (int i = 0; i < EngineCount; ++i) {
            m_engines.push_back({InstanceId("e" + std::to_string(i)),
                                 m_play.speeds[static_cast<std::size_t>(i) % m_play.speeds.size()],
                                 1000,
                                 Start,
                                 {},
                                 {}});
            addSpells(m_engines.back());
            announce(m_engines.back(), i % 2 == 0 ? Here : There);
        }
        for (int i = 0; i < m_play.daemons; ++i) {
            m_daemons.push_back(std::make_unique<BackendPicker>(InstanceId("d" + std::to_string(i)),
                                                                i % 2 == 0 ? Here : There));
            m_daemons.back()->setDaemons(m_play.daemons);
        }
        m_lastOwnLoads.resize(m_daemons.size());
    }

    void run()
    {
        at(Start, [this](TimePoint now) { arrive(now); });
        at(Start, [this](TimePoint now) { exchange(now); });
        if (m_play.restartAt < m_play.length) {
            at(Start + m_play.restartAt, [this](TimePoint) {
                m_engines[2].startedAt += 1000;
                m_engines[2].speed = 1;
                m_engines[2].cached.clear();
                announce(m_engines[2], Here);
            });
        }
        while (!m_queue.empty() && m_queue.begin()->first <= Start + m_play.length) {
            const auto next = m_queue.extract(m_queue.begin());
            next.mapped()(next.key());
        }
    }

    /// Seconds to the first event that the given share of the requests stays below, after a start
    /// of ten seconds.
    double quantile(double share)
    {
        std::sort(m_delays.begin(), m_delays.end());
        return m_delays.at(static_cast<std::size_t>(share * static_cast<double>(m_delays.size())));
    }
    /// Share of the requests with a first event after \p limit seconds.
    double late(double limit) const
    {
        const auto count =
            std::count_if(m_delays.begin(), m_delays.end(), [&](double d) { return d > limit; });
        return static_cast<double>(count) / static_cast<double>(m_delays.size());
    }
    /// Estimated ratio of the speeds of an engine of the slowest kind and one of the first kind,
    /// by the given daemon; means over all engines.
    double estimatedRatio(std::size_t daemon)
    {
        double slow = 0;
        double first = 0;
        for (std::size_t i = 0; i < m_engines.size(); i += 3) {
            first += m_daemons[daemon]->lastingSlowness(m_engines[i].id, Start + m_play.length);
            slow += m_daemons[daemon]->lastingSlowness(m_engines[i + 2].id, Start + m_play.length);
        }
        return slow / first;
    }
    double estimate(std::size_t daemon, std::size_t engine)
    {
        return m_daemons[daemon]->lastingSlowness(m_engines[engine].id, Start + m_play.length);
    }
    int sentTo(std::size_t kind) const { return m_sentTo.at(kind); }
    /// Entries that the followers got in a second, on average.
    double forwardedPerSecond() const
    {
        return static_cast<double>(m_forwarded) / toSeconds(m_play.length);
    }

private:
    struct Engine
    {
        InstanceId id;
        double speed = 1;
        std::int64_t startedAt = 0;
        TimePoint freeAt;
        std::vector<TimePoint> spells; ///< Begin and end of slow moments in turn.
        std::set<std::uint64_t> cached;
    };

    using Action = std::function<void(TimePoint now)>;

    void at(TimePoint time, Action action) { m_queue.emplace(time, std::move(action)); }

    void addSpells(Engine &engine)
    {
        const double usualSeconds = m_play.spellSeconds * (1 - m_play.slowShare) / m_play.slowShare;
        std::exponential_distribution<double> usual(1 / usualSeconds);
        std::exponential_distribution<double> spell(1 / m_play.spellSeconds);
        TimePoint now = Start;
        while (m_play.slowShare > 0 && now < Start + m_play.length + 60s) {
            engine.spells.push_back(now += toDuration(usual(m_random)));
            engine.spells.push_back(now += toDuration(spell(m_random)));
        }
    }

    void announce(const Engine &engine, const DataCentreId &dataCentre)
    {
        BackendEntry report;
        report.id = engine.id;
        report.service = Engines;
        report.address = {"10.0.0.1", 80};
        report.dataCentre = dataCentre;
        report.version = VersionId("v1");
        report.slots = 16;
        report.startedAt = engine.startedAt;
        m_view.apply({Offset(0), BackendReported{report}}, Start);
    }

    double host(const Engine &engine, TimePoint now) const
    {
        const auto next = std::upper_bound(engine.spells.begin(), engine.spells.end(), now);
        return (next - engine.spells.begin()) % 2 == 1 ? m_play.slowMoment : 1;
    }

    /// When work that takes \p seconds at a usual engine ends.
    TimePoint endOf(const Engine &engine, TimePoint begin, double seconds) const
    {
        auto next = std::upper_bound(engine.spells.begin(), engine.spells.end(), begin);
        while (true) {
            const double factor = engine.speed * host(engine, begin);
            const TimePoint end = begin + toDuration(seconds * factor);
            if (next == engine.spells.end() || end <= *next) {
                return end;
            }
            seconds -= toSeconds(*next - begin) / factor;
            begin = *next++;
        }
    }

    void arrive(TimePoint now)
    {
        std::exponential_distribution<double> pause(m_play.requestsPerSecond);
        at(now + toDuration(pause(m_random)), [this](TimePoint next) { arrive(next); });
        BackendPicker &daemon = *m_daemons[m_random() % m_daemons.size()];
        PickRequest request;
        request.service = Engines;
        request.engine = true;
        request.prompt = {1 + m_random() % 73, 17'000, 13'000, 1};
        PickFault fault = PickFault::None;
        const auto pick = daemon.pick(request, m_view, now, fault);
        cr_assert(pick);
        daemon.onSent(*pick, request, now);
        const auto index = std::stoul(pick->backend.value().substr(1));
        Engine &engine = m_engines[index];
        ++m_sentTo[index % 3];
        const bool cached = !engine.cached.insert(request.prompt.affinity).second;
        const double shared = cached ? 0 : pick->copyFrom ? 0.06 * 13'000 : 13'000;
        engine.freeAt =
            endOf(engine, std::max(engine.freeAt, now), (4'000 + shared) / TokensPerSecond);
        at(engine.freeAt, [this, &daemon, &engine, pick = *pick, now](TimePoint first) {
            begin(daemon, engine, pick, now, first);
        });
    }

    void begin(BackendPicker &daemon, Engine &engine, const Pick &pick, TimePoint sentAt,
               TimePoint now)
    {
        if (sentAt >= Start + 10s) {
            m_delays.push_back(toSeconds(now - sentAt));
        }
        if (m_play.reported) {
            daemon.onHostReported(engine.id, host(engine, now), now);
        }
        daemon.onFirstByte(engine.id, 0, pick.prefillTokens, now);
        daemon.onAnswerBegun(engine.id, Model, pick.workTokens() / pick.slowness, now - sentAt,
                             now);
        goOn(daemon, engine, Events, now);
    }

    void goOn(BackendPicker &daemon, Engine &engine, int left, TimePoint now)
    {
        if (left == 0) {
            daemon.onEnded(engine.id, SendOutcome::Served, 0, 0, now);
            return;
        }
        at(endOf(engine, now, toSeconds(Gap)), [this, &daemon, &engine, left, now](TimePoint next) {
            daemon.onGap(engine.id, Model, next - now, next);
            goOn(daemon, engine, left - 1, next);
        });
    }

    void exchange(TimePoint now)
    {
        at(now + ExchangePeriod, [this](TimePoint next) { exchange(next); });
        BackendLoads total;
        std::vector<PromptCacheEntry> prefixes;
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            // What the source sends now was collected by it a period ago.
            addLoads(total, m_lastOwnLoads[i]);
            const auto own = m_daemons[i]->promptCacheIndex().takeUnpublished();
            prefixes.insert(prefixes.end(), own.begin(), own.end());
            if (now < Start + m_play.feedLostAt) {
                m_speeds.add(m_daemons[i]->takeUnpublishedSpeeds(now), now);
            }
        }
        const auto speeds = m_speeds.take(now);
        m_forwarded += speeds.size();
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            BackendLoads others = total;
            subtractLoads(others, m_lastOwnLoads[i]);
            m_daemons[i]->setOtherDaemonsLoads(std::move(others), now);
            m_daemons[i]->promptCacheIndex().applyPublished(prefixes, now);
            m_daemons[i]->applySpeeds(speeds, now);
            m_lastOwnLoads[i] = m_daemons[i]->ownLoads(now);
        }
    }

    Play m_play;
    std::mt19937_64 m_random{11};
    FleetView m_view;
    std::vector<Engine> m_engines;
    std::vector<std::unique_ptr<BackendPicker>> m_daemons;
    std::vector<BackendLoads> m_lastOwnLoads;
    SpeedReportSum m_speeds{ForwardPeriod};
    std::multimap<TimePoint, Action> m_queue;
    std::vector<double> m_delays;
    std::map<std::size_t, int> m_sentTo;
    std::size_t m_forwarded = 0;
};

struct Result
{
    double p50 = 0;
    double p99 = 0;
    double late = 0;
};

Result play(const Play &play)
{
    EngineFleet fleet(play);
    fleet.run();
    const Result result{fleet.quantile(0.5), fleet.quantile(0.99), fleet.late(2)};
    cr_log_info("%.0f/s, %d daemons, %s: p50 %.3f s, p99 %.3f s, after 2 s %.4f, sent %d %d %d, "
                "%.0f entries/s",
                play.requestsPerSecond, play.daemons, play.reported ? "reported" : "not reported",
                result.p50, result.p99, result.late, fleet.sentTo(0), fleet.sentTo(1),
                fleet.sentTo(2), fleet.forwardedPerSecond());
    return result;
}

} // namespace

Test(speedsInFleet, fewer_answers_begin_late_with_engines_in_three_speeds, .timeout = 300)
{
    for (const double requestsPerSecond : {150, 220}) {
        for (const int daemons : {8, 83, 300}) {
            Play known;
            known.daemons = daemons;
            known.requestsPerSecond = requestsPerSecond;
            Play unknown = known;
            unknown.reported = false;
            const Result with = play(known);
            const Result without = play(unknown);
            cr_expect(with.p99 < 0.95 * without.p99, "%g/s, %d daemons: %g, without %g",
                      requestsPerSecond, daemons, with.p99, without.p99);
            cr_expect(with.late <= without.late, "%g/s, %d daemons: %g, without %g",
                      requestsPerSecond, daemons, with.late, without.late);
            // The faster engines are used more, so that half of the answers may wait longer.
            cr_expect(with.p50 < 1.15 * without.p50, "%g/s, %d daemons: %g, without %g",
                      requestsPerSecond, daemons, with.p50, without.p50);
        }
    }
}

Test(speedsInFleet, equal_engines_without_slow_moments_lose_nothing, .timeout = 200)
{
    for (const int daemons : {8, 83}) {
        Play known;
        known.daemons = daemons;
        known.speeds = {1, 1, 1};
        known.slowShare = 0;
        Play unknown = known;
        unknown.reported = false;
        const Result with = play(known);
        const Result without = play(unknown);
        cr_expect(with.p50 < 1.05 * without.p50, "%g, without %g", with.p50, without.p50);
        cr_expect(with.p99 < 1.1 * without.p99, "%g, without %g", with.p99, without.p99);
    }
}

Test(speedsInFleet, estimates_converge_and_stay, .timeout = 300)
{
    // In truth, the ratio is 1.7 / 0.7 = 2.43. Of 300 daemons, each sends one request in two
    // seconds.
    for (const int daemons : {8, 83, 300}) {
        for (const Duration length : {8s, 20s, 120s}) {
            Play known;
            known.daemons = daemons;
            known.length = length;
            EngineFleet fleet(known);
            fleet.run();
            const double ratio = fleet.estimatedRatio(0);
            const double fast = fleet.estimate(0, 0);
            cr_log_info("%d daemons: ratio %.2f after %lld s, first engine %.2f", daemons, ratio,
                        static_cast<long long>(length / 1s), fast);
            cr_expect(ratio > (length < 10s ? 1.7 : 1.9) && ratio < 2.9, "%d daemons: %g", daemons,
                      ratio);
            cr_expect(fast > 0.5 && fast < 1.1, "%d daemons: %g", daemons, fast);
        }
    }
}

Test(speedsInFleet, an_engine_that_starts_again_is_learned_anew, .timeout = 200)
{
    Play known;
    known.daemons = 83;
    known.length = 20s;
    const auto estimateAt = [&](Duration length) {
        known.length = length;
        known.restartAt = 20s;
        EngineFleet fleet(known);
        fleet.run();
        return fleet.estimate(0, 2);
    };
    const double before = estimateAt(19s);
    const double after = estimateAt(28s);
    cr_log_info("before %.2f, after %.2f", before, after);
    cr_expect(before > 1.4, "%g", before);
    cr_expect(after < 1.35, "%g", after);
}

Test(speedsInFleet, daemons_without_the_feed_keep_their_own_estimates, .timeout = 200)
{
    Play known;
    known.feedLostAt = 10s;
    const Result with = play(known);
    known.reported = false;
    const Result without = play(known);
    cr_expect(with.p99 < without.p99, "%g, without %g", with.p99, without.p99);
}

Test(speedsInFleet, without_the_figure_each_pick_is_as_before)
{
    FleetView view;
    for (int i = 0; i < 20; ++i) {
        BackendEntry report;
        report.id = InstanceId("e" + std::to_string(i));
        report.service = Engines;
        report.address = {"10.0.0.1", 80};
        report.dataCentre = i % 2 == 0 ? Here : There;
        report.version = VersionId("v1");
        report.slots = 6;
        report.startedAt = 1000;
        view.apply({Offset(0), BackendReported{report}}, Start);
    }
    BackendPicker plain(InstanceId("self"), Here);
    BackendPicker observing(InstanceId("self"), Here);
    std::mt19937 random(3);
    TimePoint now = Start;
    for (int i = 0; i < 500; ++i) {
        now += 30ms;
        PickRequest request;
        request.service = Engines;
        request.engine = i % 3 != 0;
        request.prompt = {1 + random() % 9, 17'000, 13'000, 1};
        PickFault fault = PickFault::None;
        const auto expected = plain.pick(request, view, now, fault);
        const auto chosen = observing.pick(request, view, now, fault);
        cr_assert(expected && chosen);
        cr_assert(expected->backend == chosen->backend && expected->copyFrom == chosen->copyFrom);
        cr_assert_eq(expected->workTokens(), chosen->workTokens());
        cr_assert_eq(chosen->workTokens(), chosen->backlogTokens + chosen->prefillTokens);
        cr_assert_eq(expected->meanBacklog, chosen->meanBacklog);
        plain.onSent(*expected, request, now);
        observing.onSent(*chosen, request, now);
        cr_assert_not(observing.onGap(chosen->backend, Model, 300ms, now));
        cr_assert_not(observing.onAnswerBegun(chosen->backend, Model, 10, 3s, now));
        observing.applySpeeds({{{chosen->backend, 1000}, 8, 1, std::nullopt, Duration::zero()}},
                              now);
        if (i % 4 == 0) {
            plain.onEnded(chosen->backend, SendOutcome::Served, 0, chosen->prefillTokens, now);
            observing.onEnded(chosen->backend, SendOutcome::Served, 0, chosen->prefillTokens, now);
        }
    }
    cr_assert(observing.takeUnpublishedSpeeds(now).empty());
}
