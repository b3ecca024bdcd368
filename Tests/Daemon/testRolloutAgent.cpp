#include <criterion/criterion.h>

#include <unistd.h>

#include <random>

#include "Daemon/RolloutAgent.h"
#include "Fleet/ContentStore.h"
#include "ManualLoop.h"
#include "platform/PlatformRecordCodec.h"

using namespace lycheearch;

namespace {

const ServiceId Service("s");
const VersionId Target("v2");
const VersionId Present("v1");
constexpr double ExposeShare = 0.15;

struct IgnoringObserver : FleetObserver
{
    void onRecord(ViewChange, const StoredRecord &, TimePoint) override { }
    void onBackendRemoved(const InstanceId &, const char *, TimePoint) override { }
    void onStoreLost(Topic, StoreFault, const std::string &, TimePoint) override { }
    void onStoreRegained(Topic, Duration, TimePoint) override { }
    void onStoreEra(StoreEra, StoreEra, TimePoint) override { }
    void onPageRead(Topic, const RecordPage &, bool, TimePoint) override { }
};

/// A daemon that reads the store and decides on rollouts, with a clock that the test advances.
struct Fixture
{
    explicit Fixture(bool ordered = true)
        : loop(clock)
        , store(loop)
        , follower(loop, store, codec, view, observer, {500ms, 200ms, 1s, 300ms, 300ms, 300ms})
        , feed(loop, InstanceId("d"), DataCentreId("here"), view, follower, clock,
               [](const InstanceId &, const char *) {})
        , log("test", STDERR_FILENO, 0, clock)
        , agent(loop, InstanceId("d"), store, codec, view, follower, feed, counts,
                {ExposeShare, 30}, log)
    {
        store.add(Topic::Operator,
                  {Offset(), "config", R"({"Version":1,"Routes":[],"Services":[]})"});
        if (ordered) {
            order("v2", 24);
        }
    }

    void order(const std::string &target, int finishWithinSeconds)
    {
        store.add(Topic::Operator,
                  {Offset(), "rollout/s",
                   R"({"Service":"s","Target":")" + target + R"(","FinishByS":)"
                       + std::to_string(finishWithinSeconds) + "}"});
    }

    void addServer(const std::string &id, const std::string &version)
    {
        store.add(Topic::Backends,
                  {Offset(), id,
                   R"({"Service":"s","Address":"10.0.0.1:80","Zone":"here","Version":")" + version
                       + R"(","Slots":6,"State":"ready","ColdMs":0,"Sequence":1,"born":1000})"});
    }

    void runFor(Duration span) { runLoopFor(clock, loop, span); }

    void start()
    {
        follower.start();
        agent.start();
        runFor(2s);
    }

    std::optional<RolloutStage> storedStage()
    {
        std::optional<RolloutStage> stage;
        for (const RawRecord &raw : store.content(Topic::Own)) {
            const FleetRecord record = codec.decode(Topic::Own, raw);
            if (const auto *stored = std::get_if<RolloutStage>(&record)) {
                stage = *stored;
            }
        }
        return stage;
    }

    std::optional<RolloutState> storedState()
    {
        if (store.content(Topic::Status).empty()) {
            return std::nullopt;
        }
        const FleetRecord record = codec.decode(Topic::Status, store.content(Topic::Status).back());
        return std::get<RolloutReported>(record).state;
    }

    ManualClock clock;
    EventLoop loop;
    ContentStore store;
    platform::PlatformRecordCodec codec;
    FleetView view;
    IgnoringObserver observer;
    FleetFollower follower;
    FeedClient feed;
    RolloutCounts counts;
    StructuredLog log;
    RolloutAgent agent;
};

/// The traffic of a service at a steady rate. A version fails in its share of the requests.
class Traffic
{
public:
    static constexpr int RequestsPerSecond = 18;
    static constexpr Duration AnswerTime = 15ms;

    Traffic(Fixture &fixture, unsigned seed)
        : m_fixture(fixture)
        , m_random(seed)
    {
    }

    void setFailingShare(const VersionId &version, double share) { m_failing[version] = share; }

    /// Counts the requests of a span before the order, without running the daemon meanwhile.
    void countEarlier(Duration span)
    {
        const auto requests = RequestsPerSecond * (span / Duration(1s));
        for (std::int64_t i = 0; i < requests; ++i) {
            sendRequest(Present);
        }
    }

    /// Sends requests while the daemon runs.
    void run(Duration span)
    {
        const TimePoint end = m_fixture.clock.time + span;
        while (m_fixture.clock.time < end) {
            m_fixture.runFor(Duration(1s) / RequestsPerSecond);
            const std::uint64_t session = m_random() << 32 | m_random();
            const VersionRule rule =
                rolloutRule(Service, {session}, m_fixture.view, ExposeShare, m_fixture.clock.time);
            sendRequest(rule.allows(Target) ? Target : Present);
        }
    }

private:
    void sendRequest(const VersionId &version)
    {
        const TimePoint now = m_fixture.clock.time;
        const bool good = m_unit(m_random) >= m_failing[version];
        const auto ticket = m_fixture.counts.onSent(Service, version, now);
        m_fixture.counts.onAnswerBegun(ticket, now + AnswerTime);
        m_fixture.counts.onEnded(ticket, good, AnswerTime, now + AnswerTime);
    }

    Fixture &m_fixture;
    std::mt19937_64 m_random;
    std::uniform_real_distribution<double> m_unit{0, 1};
    std::map<VersionId, double> m_failing;
};

} // namespace

// A bad version got nearly no requests before it was completed if the daemons had been running for
// a while when its rollout was ordered: all earlier requests counted as traffic since the order.
Test(rolloutAgent, the_canary_share_does_not_depend_on_how_long_the_daemons_have_been_running)
{
    for (const Duration uptime : {Duration(2s), Duration(50s), Duration(3600s)}) {
        Fixture fixture(false);
        fixture.addServer("i-1", "v1");
        fixture.addServer("i-2", "v2");
        fixture.start();
        Traffic traffic(fixture, 1);
        traffic.countEarlier(uptime);
        fixture.order("v2", 16);
        traffic.run(10s);
        const auto stage = fixture.storedStage();
        const double expected = canaryShare(Traffic::RequestsPerSecond, 16s, ExposeShare);
        cr_assert(stage);
        cr_expect_float_eq(stage->canaryShare, expected, 0.01, "up for %lld s: %g",
                           static_cast<long long>(uptime / Duration(1s)), stage->canaryShare);
    }
}

Test(rolloutAgent, a_rollback_that_the_store_lost_is_written_again_once)
{
    Fixture fixture;
    const RolloutStage condemned{Service, Target, 3, 0.02, true, false, 0.1};
    fixture.store.add(Topic::Own, fixture.codec.encode(condemned));
    fixture.start();
    cr_expect(fixture.storedState() == RolloutState::RolledBack);
    fixture.store.appended.clear();
    fixture.runFor(3s);
    cr_expect(fixture.store.appended.empty());

    fixture.store.comeBackOlder(Topic::Own, 0);
    fixture.store.comeBackOlder(Topic::Status, 0);
    fixture.runFor(4s);
    cr_expect(fixture.storedState() == RolloutState::RolledBack);
    const auto stage = fixture.storedStage();
    cr_expect(stage && stage->condemned);
    for (const auto &[key, times] : fixture.store.appended) {
        cr_expect_leq(times, 1, "%s", key.c_str());
    }
}

Test(rolloutAgent, a_completion_that_the_store_lost_is_written_again)
{
    Fixture fixture;
    fixture.store.add(
        Topic::Status,
        fixture.codec.encode(RolloutReported{Service, Target, RolloutState::Running}));
    fixture.store.add(
        Topic::Status,
        fixture.codec.encode(RolloutReported{Service, Target, RolloutState::Complete}));
    fixture.start();
    cr_expect_eq(fixture.store.content(Topic::Status).size(), 2);
    fixture.store.comeBackOlder(Topic::Status, 1);
    fixture.runFor(4s);
    cr_expect(fixture.storedState() == RolloutState::Complete);
}

namespace {

/// A daemon that is second in the feed order, at the time when the first stage of a rollout is due.
struct Standby : Fixture
{
    Standby()
        : Fixture(false)
    {
        InstanceId first("a");
        for (char name = 'a'; feedRank(first) > feedRank(InstanceId("d")); ++name) {
            first = InstanceId(std::string(1, name));
        }
        store.add(Topic::Own,
                  codec.encode(MemberRegistered{first, DataCentreId("here"), {"127.0.0.1", 1}, 0}));
        addServer("i-1", "v1");
        addServer("i-2", "v2");
        start();
        store.add(Topic::Status,
                  codec.encode(RolloutReported{Service, Target, RolloutState::Running}));
        order("v2", 16);
        Traffic(*this, 1).run(3400ms);
    }
    /// Number of stages that the daemon wrote.
    int written() { return store.appended[codec.encode(stage).key]; }

    const RolloutStage stage{Service, Target, 1, 0.02, false, false, 0.1};
};

} // namespace

Test(rolloutAgent, a_long_turn_of_a_standby_does_not_make_it_act_for_a_daemon_that_did)
{
    Standby standby;
    standby.store.add(Topic::Own, standby.codec.encode(standby.stage));
    standby.clock.time += 2 * RolloutController::StandbyDelay;
    standby.runFor(2s);
    cr_expect_eq(standby.written(), 0);
}

Test(rolloutAgent, a_standby_acts_when_the_first_daemon_does_not)
{
    Standby standby;
    cr_expect_eq(standby.written(), 0);
    standby.runFor(RolloutController::StandbyDelay + Duration(1s));
    cr_expect_eq(standby.written(), 1);
}

// review/6: evidence of a version that turned bad in the last stage came too late for the deadline.
Test(rolloutAgent, evidence_is_stored_more_often_in_the_last_stage)
{
    Fixture fixture(false);
    fixture.addServer("i-1", "v1");
    fixture.addServer("i-2", "v2");
    fixture.start();
    fixture.order("v2", 60);
    fixture.store.add(Topic::Own,
                      fixture.codec.encode(RolloutStage{Service, Target, LastRolloutStage, 0.02}));
    Traffic traffic(fixture, 1);
    traffic.run(2s);
    fixture.store.appended.clear();
    traffic.run(3s);
    cr_expect_geq(fixture.store.appended["evidence/d"], 8);
}
