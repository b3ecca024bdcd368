#include <criterion/criterion.h>

#include <unistd.h>

#include "Daemon/RolloutAgent.h"
#include "Fleet/ContentStore.h"
#include "ManualLoop.h"
#include "platform/PlatformRecordCodec.h"

using namespace lycheearch;

namespace {

const ServiceId Service("s");
const VersionId Target("v2");

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
    Fixture()
        : loop(clock)
        , store(loop)
        , follower(loop, store, codec, view, observer, {500ms, 200ms, 1s, 300ms, 300ms, 300ms})
        , feed(loop, InstanceId("d"), DataCentreId("here"), view, follower, clock,
               [](const InstanceId &, const char *) {})
        , log("test", STDERR_FILENO, 0, clock)
        , agent(loop, InstanceId("d"), store, codec, view, follower, feed, counts, {0.15, 30}, log)
    {
        store.add(Topic::Operator,
                  {Offset(), "config", R"({"Version":1,"Routes":[],"Services":[]})"});
        store.add(Topic::Operator,
                  {Offset(), "rollout/s", R"({"Service":"s","Target":"v2","FinishByS":24})"});
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

} // namespace

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
