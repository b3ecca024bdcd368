#include <criterion/criterion.h>

#include "Fleet/FakeStore.h"
#include "Fleet/FleetFollower.h"
#include "ManualLoop.h"
#include "platform/PlatformRecordCodec.h"

using namespace lycheearch;

namespace {

constexpr FollowerTiming Timing{1500ms, 500ms, 4s, 700ms, 200ms, 1000ms};
const DataCentreId Evacuated("dc");

struct Observer : FleetObserver
{
    void onRecord(ViewChange, const StoredRecord &, TimePoint) override { }
    void onBackendRemoved(const InstanceId &id, const char *, TimePoint) override
    {
        removed.push_back(id);
    }
    void onStoreLost(Topic, StoreFault, const std::string &, TimePoint) override { }
    void onStoreRegained(Topic, Duration, TimePoint) override { }
    void onStoreEra(StoreEra, StoreEra, TimePoint) override { ++eras; }
    void onPageRead(Topic, const RecordPage &page, bool, TimePoint) override { lastEra = page.era; }

    int eras = 0;
    StoreEra lastEra;
    std::vector<InstanceId> removed;
};

RawRecord config(std::int64_t offset, int version)
{
    return {Offset(offset), "config",
            R"({"Version":)" + std::to_string(version) + R"(,"Routes":[],"Services":[]})"};
}

RawRecord evacuation(std::int64_t offset)
{
    return {Offset(offset), "evacuate/dc", "{}"};
}

RawRecord server(std::int64_t offset, const std::string &id, int sequence,
                 const std::string &state = "ready")
{
    return {
        Offset(offset), id,
        R"({"Service":"s","Address":"10.0.0.1:80","Zone":"d","Version":"v1","Slots":4,"State":")"
            + state + R"(","ColdMs":0,"Sequence":)" + std::to_string(sequence) + "}"};
}

RecordPage page(std::vector<RawRecord> records, std::int64_t end)
{
    RecordPage result;
    result.records = std::move(records);
    result.end = Offset(end);
    return result;
}

/// A store with one operator, whose content the test sets, and a follower that reads it. Each open
/// call is answered in the next step.
struct Fixture
{
    Fixture()
        : loop(clock)
        , follower(loop, store, codec, view, observer, Timing)
    {
        store.era = StoreEra(3);
        content[Topic::Operator] = page({config(0, 5), evacuation(1)}, 2);
        content[Topic::Backends] = page(
            {server(7, "kept", 4), server(8, "late", 2), server(9, "leaves", 6, "draining")}, 10);
        follower.start();
        runFor(100ms);
    }

    /// Advances the clock. Reads of offsets that the store lacks fail, as in an older copy.
    void runFor(Duration span)
    {
        runLoopFor(clock, loop, span, [this] { answerAll(); });
    }

    void answerAll()
    {
        for (const Topic topic : {Topic::Operator, Topic::Backends, Topic::Status, Topic::Own}) {
            while (!store.calls[topic].empty()) {
                const FakeStore::Call &call = store.calls[topic].front();
                if (call.listing) {
                    ++listings[topic];
                    store.answer(topic, content[topic], clock.time);
                } else if (call.from > content[topic].end) {
                    store.fail(topic, StoreFault::Truncated, clock.time);
                } else {
                    RecordPage news;
                    news.end = content[topic].end;
                    for (const RawRecord &record : content[topic].records) {
                        if (record.offset >= call.from) {
                            news.records.push_back(record);
                        }
                    }
                    const bool held = topic == Topic::Operator && news.records.empty()
                        && clock.time - pollAnsweredAt < Timing.operatorWait;
                    if (held) {
                        break;
                    }
                    pollAnsweredAt = topic == Topic::Operator ? clock.time : pollAnsweredAt;
                    store.answer(topic, news, clock.time);
                }
            }
        }
    }

    /// The store comes back from an older copy.
    void comeBackOlder(const RecordPage &operatorTopic, const RecordPage &backends)
    {
        store.era = StoreEra(store.era.value() + 1);
        content[Topic::Operator] = operatorTopic;
        content[Topic::Backends] = backends;
        if (!store.calls[Topic::Operator].empty()) {
            store.fail(Topic::Operator, StoreFault::Unreachable, clock.time);
        }
    }

    bool draining(const char *id) const { return view.backend(InstanceId(id))->draining; }

    ManualClock clock;
    EventLoop loop;
    FakeStore store;
    platform::PlatformRecordCodec codec;
    FleetView view;
    Observer observer;
    FleetFollower follower;
    std::map<Topic, RecordPage> content;
    std::map<Topic, int> listings;
    TimePoint pollAnsweredAt; ///< Last answer to a long-polling read.
};

} // namespace

Test(storeEra, the_first_era_is_no_change)
{
    Fixture fixture;
    cr_expect(fixture.follower.synced());
    cr_expect_eq(fixture.observer.eras, 0);
    cr_expect_eq(fixture.follower.era(), StoreEra(3));
    cr_expect_eq(fixture.observer.lastEra, StoreEra(3));
    cr_expect_eq(fixture.listings[Topic::Backends], 1);
}

Test(storeEra, the_last_view_stays_in_use_until_the_records_are_written_again)
{
    Fixture fixture;
    fixture.comeBackOlder(page({config(0, 4)}, 1), page({server(2, "leaves", 3)}, 3));
    fixture.runFor(3s);
    cr_expect_eq(fixture.observer.eras, 1);
    cr_expect_eq(fixture.view.table()->version(), ConfigVersion(5));
    cr_expect(fixture.view.evacuated(Evacuated));
    cr_expect_not_null(fixture.view.backend(InstanceId("kept")));
    cr_expect_not_null(fixture.view.backend(InstanceId("late")));
    cr_expect(fixture.draining("leaves"));
    cr_expect(fixture.observer.removed.empty());
}

Test(storeEra, records_at_offsets_that_are_given_out_again_are_read)
{
    Fixture fixture;
    fixture.comeBackOlder(page({config(0, 4)}, 1), page({server(2, "kept", 3)}, 3));
    fixture.runFor(1s);
    // These offsets were in use before, for other records.
    fixture.content[Topic::Operator] = page({evacuation(1), config(2, 6)}, 3);
    fixture.content[Topic::Backends] =
        page({server(3, "kept", 5, "draining"), server(4, "late", 3)}, 5);
    if (!fixture.store.calls[Topic::Operator].empty()) {
        fixture.answerAll();
    }
    fixture.runFor(1s);
    cr_expect_eq(fixture.view.table()->version(), ConfigVersion(6));
    cr_expect(fixture.draining("kept"));
}

Test(storeEra, what_is_not_written_again_is_gone_after_the_settle_time)
{
    Fixture fixture;
    fixture.comeBackOlder(page({config(0, 4)}, 1), page({server(2, "kept", 3)}, 3));
    fixture.runFor(1s);
    fixture.content[Topic::Operator] = page({config(1, 5)}, 2);
    fixture.content[Topic::Backends] = page({server(3, "kept", 5), server(4, "leaves", 7)}, 5);
    fixture.runFor(FleetFollower::EraSettleTime + 1s);
    cr_expect_not(fixture.view.evacuated(Evacuated));
    cr_expect_not_null(fixture.view.backend(InstanceId("kept")));
    cr_expect_null(fixture.view.backend(InstanceId("late")));
    cr_expect(fixture.draining("leaves"));
}

Test(storeEra, an_order_in_the_older_copy_is_not_taken_for_a_new_one)
{
    Fixture fixture;
    fixture.content[Topic::Operator] = page({config(0, 5)}, 3); // The evacuation ended.
    fixture.store.answer(Topic::Operator, page({{Offset(2), "evacuate/dc", ""}}, 3),
                         fixture.clock.time);
    fixture.runFor(100ms);
    cr_expect_not(fixture.view.evacuated(Evacuated));
    fixture.comeBackOlder(page({config(0, 5), evacuation(1)}, 2), fixture.content[Topic::Backends]);
    fixture.runFor(2s);
    cr_expect_eq(fixture.observer.eras, 1);
    cr_expect_not(fixture.view.evacuated(Evacuated));
}

Test(storeEra, two_drills_in_a_row_are_two_changes)
{
    Fixture fixture;
    const RecordPage older = page({server(2, "kept", 3)}, 3);
    fixture.comeBackOlder(page({config(0, 4)}, 1), older);
    fixture.runFor(1s);
    fixture.comeBackOlder(page({config(0, 4)}, 1), older);
    fixture.runFor(3s);
    cr_expect_eq(fixture.observer.eras, 2);
    cr_expect_eq(fixture.follower.era(), StoreEra(5));
    cr_expect_not_null(fixture.view.backend(InstanceId("late")));
    fixture.runFor(3s);
    cr_expect_null(fixture.view.backend(InstanceId("late")));
}

Test(storeEra, deleted_records_alone_are_no_change_of_the_era)
{
    Fixture fixture;
    fixture.content[Topic::Backends] = page({server(20, "kept", 5)}, 4);
    fixture.runFor(600ms); // Offset 10 is beyond the end, as after a compaction of this test store.
    cr_expect_eq(fixture.observer.eras, 0);
    cr_expect_geq(fixture.listings[Topic::Backends], 2);
}

Test(storeEra, a_feed_of_the_older_era_is_ignored_and_one_of_the_newer_era_followed)
{
    Fixture fixture;
    fixture.follower.setFollowingFeed(true);
    RecordPage older = page({server(11, "from-older", 1)}, 12);
    older.era = StoreEra(2);
    fixture.follower.applyFeedPage(Topic::Backends, older, true, fixture.clock.time);
    cr_expect_null(fixture.view.backend(InstanceId("from-older")));

    RecordPage newer = page({server(1, "from-newer", 1)}, 2);
    newer.era = StoreEra(4);
    fixture.follower.applyFeedPage(Topic::Backends, newer, false, fixture.clock.time);
    cr_expect_null(fixture.view.backend(InstanceId("from-newer")), "its listing has not come yet");
    fixture.follower.applyFeedPage(Topic::Backends, newer, true, fixture.clock.time);
    cr_expect_not_null(fixture.view.backend(InstanceId("from-newer")));
    cr_expect_not_null(fixture.view.backend(InstanceId("kept")));
    cr_expect_eq(fixture.observer.eras, 1);

    RecordPage next = page({server(2, "next", 1)}, 3);
    next.era = StoreEra(4);
    fixture.follower.applyFeedPage(Topic::Backends, next, false, fixture.clock.time);
    cr_expect_not_null(fixture.view.backend(InstanceId("next")));
}

Test(storeEra, a_feed_of_a_daemon_that_does_not_know_eras_is_followed)
{
    Fixture fixture;
    fixture.follower.setFollowingFeed(true);
    RecordPage news = page({server(10, "next", 1)}, 11);
    news.era = UnknownEra;
    fixture.follower.applyFeedPage(Topic::Backends, news, false, fixture.clock.time);
    cr_expect_not_null(fixture.view.backend(InstanceId("next")));
}
