#include <criterion/criterion.h>

#include <unistd.h>

#include "Daemon/CrashVerdictAgent.h"
#include "Feed/FeedHarness.h"
#include "Fleet/ContentStore.h"
#include "ManualLoop.h"

using namespace lycheearch;

namespace {

const SuspectKey Bad{1, 2};

/// Passes the records of condemned parts to the agent, as the daemon does.
struct RecordObserver : BroadcastingObserver
{
    void onRecord(ViewChange change, const StoredRecord &stored, TimePoint now) override
    {
        if (change == ViewChange::PromptPart) {
            agent->onRecord(std::get<PromptPartCondemned>(stored.record), now);
        }
    }
    void onStoreEra(StoreEra, StoreEra, TimePoint) override { agent->onStoreEra(); }

    CrashVerdictAgent *agent = nullptr;
};

struct Fixture
{
    explicit Fixture(ContentStore &store, ManualClock &clock, EventLoop &loop)
        : follower(loop, store, codec, view, observer, {500ms, 200ms, 1s, 300ms, 300ms, 300ms})
        , log("test", STDERR_FILENO, 0, clock)
        , agent(loop, store, codec, follower, table, log, clock)
    {
        observer.agent = &agent;
        follower.start();
        agent.start();
    }

    bool refuses(TimePoint now)
    {
        return table.refusedPart(Bad.account, {Bad.hash}, now).has_value();
    }

    platform::PlatformRecordCodec codec;
    FleetView view;
    RecordObserver observer;
    FleetFollower follower;
    CrashTable table;
    StructuredLog log;
    CrashVerdictAgent agent;
};

} // namespace

Test(crashVerdictAgent, a_fleet_that_starts_anew_refuses_what_was_condemned_before)
{
    ManualClock clock;
    EventLoop loop(clock);
    ContentStore store(loop);
    store.add(Topic::Operator, {Offset(), "config", R"({"Version":1,"Routes":[],"Services":[]})"});
    {
        Fixture before(store, clock, loop);
        runLoopFor(clock, loop, 1s);
        before.table.condemn({Bad, Duration::zero()}, clock.now());
        runLoopFor(clock, loop, 5s);
        cr_expect_eq(store.content(Topic::Own).size(), 1);
    }
    Fixture after(store, clock, loop);
    runLoopFor(clock, loop, 1s);
    cr_expect(after.refuses(clock.now()));
    cr_expect_eq(store.content(Topic::Own).size(), 1);
}

Test(crashVerdictAgent, a_record_that_the_store_lost_is_written_again_once)
{
    ManualClock clock;
    EventLoop loop(clock);
    ContentStore store(loop);
    store.add(Topic::Operator, {Offset(), "config", R"({"Version":1,"Routes":[],"Services":[]})"});
    Fixture daemon(store, clock, loop);
    runLoopFor(clock, loop, 1s);
    daemon.table.condemn({Bad, Duration::zero()}, clock.now());
    runLoopFor(clock, loop, 2s);
    store.comeBackOlder(Topic::Own, 0);
    store.appended.clear();
    runLoopFor(clock, loop, 5s);
    cr_expect_eq(store.content(Topic::Own).size(), 1);
    cr_expect_eq(store.appended.size(), 1);
    cr_expect(daemon.refuses(clock.now()));
}

Test(crashVerdictAgent, a_daemon_that_follows_a_feed_does_not_write)
{
    ManualClock clock;
    EventLoop loop(clock);
    ContentStore store(loop);
    store.add(Topic::Operator, {Offset(), "config", R"({"Version":1,"Routes":[],"Services":[]})"});
    Fixture daemon(store, clock, loop);
    runLoopFor(clock, loop, 1s);
    daemon.follower.setFollowingFeed(true);
    daemon.table.condemn({Bad, Duration::zero()}, clock.now());
    runLoopFor(clock, loop, 5s);
    cr_expect(store.content(Topic::Own).empty());
}
