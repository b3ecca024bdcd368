#include <criterion/criterion.h>

#include "Fleet/FakeStore.h"
#include "Fleet/FleetFollower.h"
#include "ManualLoop.h"
#include "platform/PlatformRecordCodec.h"

using namespace lycheearch;

namespace {

constexpr FollowerTiming Timing{1500ms, 500ms, 4s, 700ms, 200ms, 1000ms};

struct Observer : FleetObserver
{
    void onRecord(ViewChange, const StoredRecord &, TimePoint) override { ++records; }
    void onBackendRemoved(const InstanceId &id, const char *, TimePoint) override
    {
        dropped.push_back(id);
    }
    void onStoreLost(Topic, StoreFault, const std::string &, TimePoint) override { ++lost; }
    void onStoreEra(StoreEra, StoreEra, TimePoint) override { ++eras; }
    void onStoreRegained(Topic, Duration, TimePoint) override { ++regained; }
    void onPageRead(Topic, const RecordPage &, bool, TimePoint) override { ++pages; }

    int records = 0;
    int lost = 0;
    int regained = 0;
    int eras = 0;
    int pages = 0;
    std::vector<InstanceId> dropped;
};

/// A follower with a clock that the test advances; the event loop runs the timers that are due.
struct Fixture
{
    Fixture()
        : loop(clock)
        , follower(loop, store, codec, view, observer, Timing)
    {
    }

    void runFor(Duration span) { runLoopFor(clock, loop, span); }

    void startAndList(const RecordPage &backends)
    {
        follower.start();
        RecordPage config;
        config.records = {configRecord(0, 1)};
        config.end = Offset(1);
        store.answer(Topic::Operator, config, clock.time);
        store.answer(Topic::Backends, backends, clock.time);
        store.answer(Topic::Own, {}, clock.time);
    }

    /// Fails each read of the backends topic for \p time, and leaves the next read open.
    void loseBackendsFor(Duration time)
    {
        const TimePoint end = clock.time + time;
        while (clock.time < end) {
            if (!store.calls[Topic::Backends].empty()) {
                store.fail(Topic::Backends, StoreFault::Refused, clock.time);
            }
            runFor(10ms);
        }
        while (store.calls[Topic::Backends].empty()) {
            runFor(10ms);
        }
    }

    static RawRecord configRecord(std::int64_t offset, int version)
    {
        return {Offset(offset), "config",
                R"({"Version":)" + std::to_string(version) + R"(,"Routes":[],"Services":[]})"};
    }

    static RawRecord backendRecord(std::int64_t offset, const std::string &id, int sequence)
    {
        return {Offset(offset), id,
                R"({"Service":"s","Address":"10.0.0.1:80","Zone":"d","Version":"v1","Slots":4,)"
                R"("State":"ready","ColdMs":0,"Sequence":)"
                    + std::to_string(sequence) + "}"};
    }

    /// A page that ends at its size limit.
    static RecordPage fullPage(std::vector<RawRecord> records, std::int64_t end)
    {
        records.back().value.insert(records.back().value.size() - 1, MaxPageBytes, ' ');
        return page(std::move(records), end);
    }

    static RecordPage page(std::vector<RawRecord> records, std::int64_t end)
    {
        RecordPage result;
        result.records = std::move(records);
        result.end = Offset(end);
        return result;
    }

    ManualClock clock;
    EventLoop loop;
    FakeStore store;
    platform::PlatformRecordCodec codec;
    FleetView view;
    Observer observer;
    FleetFollower follower;
};

} // namespace

Test(fleetFollower, each_topic_is_listed_once_and_then_read_incrementally)
{
    Fixture fixture;
    fixture.startAndList(Fixture::page({Fixture::backendRecord(4, "one", 1)}, 5));
    cr_expect(fixture.follower.synced());
    cr_expect_not_null(fixture.view.backend(InstanceId("one")));
    fixture.runFor(600ms);
    cr_assert_eq(fixture.store.calls[Topic::Backends].size(), 1);
    cr_expect_not(fixture.store.calls[Topic::Backends][0].listing);
    cr_expect_eq(fixture.store.calls[Topic::Backends][0].from.value(), 5);
}

Test(fleetFollower, a_truncated_read_causes_a_new_listing)
{
    Fixture fixture;
    fixture.startAndList(Fixture::page({Fixture::backendRecord(4, "one", 1)}, 5));
    fixture.runFor(600ms);
    fixture.store.fail(Topic::Backends, StoreFault::Truncated, fixture.clock.time);
    fixture.runFor(20ms);
    cr_assert(fixture.store.calls[Topic::Backends].at(0).listing);
    fixture.store.answer(Topic::Backends, Fixture::page({Fixture::backendRecord(9, "two", 1)}, 12),
                         fixture.clock.time);
    cr_expect_null(fixture.view.backend(InstanceId("one")));
    cr_expect_not_null(fixture.view.backend(InstanceId("two")));
    cr_expect_eq(fixture.observer.dropped.size(), 1);
}

Test(fleetFollower, a_stale_listing_is_ignored)
{
    Fixture fixture;
    fixture.startAndList(Fixture::page({Fixture::backendRecord(4, "one", 1)}, 5));
    fixture.runFor(600ms);
    fixture.store.fail(Topic::Backends, StoreFault::Truncated, fixture.clock.time);
    fixture.runFor(20ms);
    fixture.store.answer(Topic::Backends, Fixture::page({}, 3), fixture.clock.time);
    cr_expect_not_null(fixture.view.backend(InstanceId("one")));
    fixture.runFor(1100ms);
    cr_expect(fixture.store.calls[Topic::Backends].at(0).listing);
}

Test(fleetFollower, an_unavailable_store_is_retried_with_backoff)
{
    Fixture fixture;
    fixture.startAndList(Fixture::page({Fixture::backendRecord(4, "one", 1)}, 5));
    fixture.runFor(600ms);
    int attempts = 0;
    for (int i = 0; i < 40; ++i) {
        if (!fixture.store.calls[Topic::Backends].empty()) {
            fixture.store.fail(Topic::Backends, StoreFault::Unreachable, fixture.clock.time);
            ++attempts;
        }
        fixture.runFor(100ms);
    }
    cr_expect(attempts >= 4 && attempts <= 7, "%d", attempts);
    cr_expect_eq(fixture.observer.lost, 1);
    cr_expect_not_null(fixture.view.backend(InstanceId("one")));
}

Test(fleetFollower, entries_lapsed_during_an_outage_are_kept_for_the_grace_period)
{
    Fixture fixture;
    fixture.startAndList(Fixture::page({Fixture::backendRecord(4, "one", 1)}, 5));
    fixture.runFor(600ms);
    fixture.loseBackendsFor(3s);
    fixture.store.answer(Topic::Backends, Fixture::page({{Offset(5), "one", ""}}, 6),
                         fixture.clock.time);
    cr_expect_not_null(fixture.view.backend(InstanceId("one")));
    fixture.runFor(2300ms);
    cr_expect_null(fixture.view.backend(InstanceId("one")));
}

Test(fleetFollower, an_entry_removed_after_a_short_outage_is_dropped_at_once)
{
    Fixture fixture;
    fixture.startAndList(Fixture::page({Fixture::backendRecord(4, "one", 1)}, 5));
    fixture.runFor(600ms);
    fixture.loseBackendsFor(300ms);
    fixture.store.answer(Topic::Backends, Fixture::page({{Offset(5), "one", ""}}, 6),
                         fixture.clock.time);
    cr_expect_null(fixture.view.backend(InstanceId("one")));
}

Test(fleetFollower, topics_that_recover_later_do_not_extend_the_grace_period)
{
    Fixture fixture;
    fixture.startAndList(Fixture::page({Fixture::backendRecord(4, "one", 1)}, 5));
    fixture.runFor(4100ms);
    fixture.store.fail(Topic::Own, StoreFault::Refused, fixture.clock.time);
    fixture.loseBackendsFor(3s);
    fixture.store.answer(Topic::Backends, Fixture::page({{Offset(5), "one", ""}}, 6),
                         fixture.clock.time);
    fixture.runFor(2s);
    cr_assert_not(fixture.store.calls[Topic::Own].empty());
    fixture.store.answer(Topic::Own, {}, fixture.clock.time);
    fixture.runFor(300ms);
    cr_expect_null(fixture.view.backend(InstanceId("one")));
}

Test(fleetFollower, a_daemon_that_follows_a_feed_does_not_read_the_store_until_the_feed_ends)
{
    Fixture fixture;
    fixture.startAndList(Fixture::page({}, 5));
    fixture.follower.setFollowingFeed(true);
    fixture.runFor(2s);
    cr_expect(fixture.store.calls[Topic::Backends].empty());
    fixture.follower.applyFeedPage(Topic::Backends,
                                   Fixture::page({Fixture::backendRecord(5, "fed", 1)}, 6), false,
                                   fixture.clock.time);
    cr_expect_not_null(fixture.view.backend(InstanceId("fed")));
    fixture.follower.setFollowingFeed(false);
    fixture.runFor(20ms);
    cr_assert_eq(fixture.store.calls[Topic::Backends].size(), 1);
    cr_expect_eq(fixture.store.calls[Topic::Backends][0].from.value(), 6);
}

Test(fleetFollower, a_feed_page_after_a_gap_is_ignored)
{
    Fixture fixture;
    fixture.startAndList(Fixture::page({}, 5));
    fixture.follower.applyFeedPage(Topic::Backends,
                                   Fixture::page({Fixture::backendRecord(8, "late", 1)}, 9), false,
                                   fixture.clock.time);
    cr_expect_null(fixture.view.backend(InstanceId("late")));
}

Test(fleetFollower, a_record_received_twice_is_applied_once)
{
    Fixture fixture;
    fixture.startAndList(Fixture::page({}, 5));
    const RecordPage page = Fixture::page({Fixture::backendRecord(5, "one", 1)}, 6);
    fixture.follower.applyFeedPage(Topic::Backends, page, false, fixture.clock.time);
    const int before = fixture.observer.records;
    fixture.follower.applyFeedPage(Topic::Backends, page, false, fixture.clock.time);
    cr_expect_eq(fixture.observer.records, before);
}

Test(fleetFollower, rollout_states_are_listed_when_a_rollout_is_ordered)
{
    Fixture fixture;
    fixture.startAndList(Fixture::page({}, 5));
    cr_expect(fixture.store.calls[Topic::Status].empty());
    fixture.runFor(20ms);
    fixture.store.answer(
        Topic::Operator,
        Fixture::page({{Offset(1), "rollout/s", R"({"Service":"s","Target":"v2","FinishByS":9})"}},
                      2),
        fixture.clock.time);
    fixture.runFor(20ms);
    cr_assert_eq(fixture.store.calls[Topic::Status].size(), 1);
    cr_expect(fixture.store.calls[Topic::Status][0].listing);
    cr_expect_not(fixture.follower.synced());
    fixture.store.answer(Topic::Status, {}, fixture.clock.time);
    cr_expect(fixture.follower.synced());
}

Test(fleetFollower, an_unavailable_store_is_probed_by_one_topic_and_read_at_once_on_recovery)
{
    Fixture test;
    test.startAndList({});
    int refused = 0;
    // Refuses all calls, as a store does that is unavailable as a whole.
    const auto refuseFor = [&](Duration span) {
        for (const TimePoint end = test.clock.time + span; test.clock.time < end;) {
            for (auto &[topic, open] : test.store.calls) {
                while (!open.empty()) {
                    test.store.fail(topic, StoreFault::Refused, test.clock.time);
                    ++refused;
                }
            }
            test.runFor(10ms);
        }
    };
    refuseFor(5s);
    cr_expect_eq(test.observer.lost, 3);
    refused = 0;
    refuseFor(10s);
    // The probe retries once a second, and each other topic a few times.
    cr_expect(refused <= 16, "%d calls in ten seconds", refused);
    while (test.store.calls[Topic::Operator].empty()) {
        test.runFor(10ms);
    }
    test.store.answer(Topic::Operator, {}, test.clock.time);
    test.runFor(20ms);
    cr_expect_eq(test.store.calls[Topic::Backends].size(), 1);
    cr_expect_eq(test.store.calls[Topic::Own].size(), 1);
}

Test(fleetFollower, an_unavailable_topic_does_not_block_reads_of_the_others)
{
    Fixture test;
    test.startAndList({});
    // The store fails for the operator's records throughout, and for the backends topic for 2 s.
    int answered = 0;
    const TimePoint recoveryTime = test.clock.time + 2s;
    for (const TimePoint end = test.clock.time + 12s; test.clock.time < end;) {
        for (auto &[topic, open] : test.store.calls) {
            while (!open.empty()) {
                if (topic == Topic::Backends && test.clock.time >= recoveryTime) {
                    test.store.answer(topic, {}, test.clock.time);
                    ++answered;
                } else {
                    test.store.fail(topic, StoreFault::Refused, test.clock.time);
                }
            }
        }
        test.runFor(10ms);
    }
    cr_expect(answered >= 10, "%d", answered);
}

Test(fleetFollower, a_failed_read_of_either_topic_raises_the_staleness)
{
    for (const Topic lost : {Topic::Operator, Topic::Backends}) {
        Fixture test;
        test.startAndList({});
        for (const TimePoint end = test.clock.time + 4s; test.clock.time < end;) {
            for (const Topic topic : {Topic::Operator, Topic::Backends}) {
                if (topic != lost && !test.store.calls[topic].empty()) {
                    test.store.answer(topic, {}, test.clock.time);
                }
            }
            test.runFor(10ms);
            const Duration wait =
                lost == Topic::Operator ? Timing.operatorWait : Timing.backendsPeriod;
            const Duration overdue = test.clock.time - (end - Duration(4s)) - wait;
            cr_assert(test.follower.storeStaleness(test.clock.time).value_or(Duration(-1s))
                      >= overdue - Duration(50ms));
        }
        cr_expect(test.follower.storeStaleness(test.clock.time) > Duration(2s));
    }
}

Test(fleetFollower, a_long_turn_of_this_daemon_is_no_staleness_of_the_store)
{
    Fixture test;
    test.startAndList({});
    test.runFor(20ms);
    // The answer of the store lies in the socket meanwhile; the next read is yet to be made.
    test.clock.time += 3s;
    test.store.answer(Topic::Operator, {}, test.clock.time);
    cr_expect(test.follower.storeStaleness(test.clock.time) == Duration::zero());
}

Test(fleetFollower, a_read_that_was_made_late_is_overdue_only_from_then_on)
{
    Fixture test;
    test.startAndList({});
    test.runFor(20ms);
    test.clock.time += 3s;
    test.store.answer(Topic::Operator, {}, test.clock.time);
    test.runFor(300ms);
    cr_assert_eq(test.store.calls[Topic::Backends].size(), 1);
    const Duration staleness =
        test.follower.storeStaleness(test.clock.time).value_or(Duration::max());
    cr_expect(staleness > Duration(250ms) && staleness <= Duration(300ms));
}

Test(fleetFollower, a_daemon_that_left_a_feed_is_stale_until_it_has_read_the_store)
{
    Fixture test;
    test.startAndList({});
    test.follower.setFollowingFeed(true);
    test.runFor(5s);
    test.follower.setFollowingFeed(false);
    test.runFor(20ms);
    cr_expect(test.follower.storeStaleness(test.clock.time) > Duration(2s));
    for (const Topic topic : {Topic::Operator, Topic::Backends}) {
        test.store.answer(topic, {}, test.clock.time);
    }
    cr_expect(test.follower.storeStaleness(test.clock.time) == Duration::zero());
}

Test(fleetFollower, a_reader_with_a_backlog_skips_superseded_configurations)
{
    Fixture test;
    test.startAndList({});
    test.runFor(20ms);
    test.store.answer(Topic::Operator, Fixture::fullPage({Fixture::configRecord(1, 2)}, 8),
                      test.clock.time);
    test.runFor(20ms);
    cr_assert_eq(test.store.calls[Topic::Operator].size(), 1);
    cr_assert(test.store.calls[Topic::Operator][0].listing);
    test.store.answer(Topic::Operator, Fixture::page({Fixture::configRecord(7, 8)}, 8),
                      test.clock.time);
    cr_expect_eq(test.view.table()->version(), ConfigVersion(8));
    test.runFor(20ms);
    cr_assert_not(test.store.calls[Topic::Operator][0].listing);
    cr_expect_eq(test.store.calls[Topic::Operator][0].from, Offset(8));
}

Test(fleetFollower, a_reader_with_unread_records_is_stale)
{
    Fixture test;
    test.startAndList({});
    std::int64_t read = 0;
    for (const TimePoint end = test.clock.time + 4s; test.clock.time < end;) {
        if (!test.store.calls[Topic::Operator].empty()) {
            test.store.answer(Topic::Operator, {}, test.clock.time);
        }
        if (!test.store.calls[Topic::Backends].empty()) {
            const RawRecord record = Fixture::backendRecord(read++, "one", 1);
            test.store.answer(Topic::Backends, Fixture::fullPage({record}, read + 9),
                              test.clock.time);
        }
        test.runFor(100ms);
    }
    cr_expect(test.follower.storeStaleness(test.clock.time) > Duration(2s));
}

Test(fleetFollower, a_store_with_stale_reads_is_not_read_without_pause)
{
    // The store's answers lag behind the end that they state, as after it dropped its history.
    Fixture test;
    test.startAndList({});
    std::int64_t read = 0;
    int calls = 0;
    for (const TimePoint end = test.clock.time + 4s; test.clock.time < end;) {
        if (!test.store.calls[Topic::Operator].empty()) {
            cr_expect_not(test.store.calls[Topic::Operator][0].listing);
            test.store.answer(Topic::Operator, {}, test.clock.time);
        }
        if (!test.store.calls[Topic::Backends].empty()) {
            ++calls;
            const RawRecord record = Fixture::backendRecord(read++, "one", 1);
            test.store.answer(Topic::Backends, Fixture::page({record}, read + 9), test.clock.time);
        }
        test.runFor(10ms);
    }
    cr_expect(calls <= 9, "%d", calls);
    cr_expect(test.follower.storeStaleness(test.clock.time) < Duration(500ms));
}

Test(fleetFollower, a_page_that_leaves_records_unread_is_followed_by_the_next_at_once)
{
    Fixture test;
    test.startAndList(Fixture::page({}, 5));
    test.runFor(600ms);
    test.store.answer(Topic::Backends, Fixture::fullPage({Fixture::backendRecord(5, "one", 1)}, 7),
                      test.clock.time);
    test.runFor(20ms);
    cr_assert_eq(test.store.calls[Topic::Backends].size(), 1);
    cr_expect_eq(test.store.calls[Topic::Backends][0].from, Offset(6));
}

Test(fleetFollower, a_lost_store_is_probed_without_a_long_poll)
{
    Fixture test;
    test.startAndList({});
    test.runFor(20ms);
    cr_expect(test.store.calls[Topic::Operator].at(0).wait > Duration::zero());
    test.store.fail(Topic::Operator, StoreFault::Unreachable, test.clock.time);
    test.runFor(300ms);
    cr_expect(test.store.calls[Topic::Operator].at(0).wait == Duration::zero());
}

Test(fleetFollower, a_call_that_fails_after_the_switch_to_a_feed_is_no_outage)
{
    Fixture test;
    test.startAndList(Fixture::page({Fixture::backendRecord(4, "one", 1)}, 5));
    test.runFor(600ms);
    test.follower.setFollowingFeed(true);
    test.store.fail(Topic::Backends, StoreFault::Unreachable, test.clock.time);
    test.runFor(5s);
    test.follower.setFollowingFeed(false);
    test.runFor(20ms);
    test.store.answer(Topic::Backends, Fixture::page({{Offset(5), "one", ""}}, 6), test.clock.time);
    cr_expect_null(test.view.backend(InstanceId("one")));
}

Test(fleetFollower, a_gap_in_the_feed_that_is_followed_is_filled_from_the_store)
{
    Fixture test;
    test.startAndList(Fixture::page({}, 5));
    test.follower.setFollowingFeed(true);
    test.follower.applyFeedPage(Topic::Backends,
                                Fixture::page({Fixture::backendRecord(8, "late", 1)}, 9), false,
                                test.clock.time);
    test.runFor(20ms);
    cr_assert_eq(test.store.calls[Topic::Backends].size(), 1);
    cr_expect(test.store.calls[Topic::Backends][0].listing);
}

Test(fleetFollower, a_page_without_news_is_not_passed_on)
{
    Fixture test;
    test.startAndList(Fixture::page({}, 5));
    const RecordPage page = Fixture::page({Fixture::backendRecord(5, "one", 1)}, 6);
    const int before = test.observer.pages;
    test.follower.applyFeedPage(Topic::Backends, page, false, test.clock.time);
    test.follower.applyFeedPage(Topic::Backends, page, false, test.clock.time);
    cr_expect_eq(test.observer.pages, before + 1);
}

Test(fleetFollower, each_record_of_a_listing_is_decoded_once)
{
    struct CountingCodec : platform::PlatformRecordCodec
    {
        FleetRecord decode(Topic topic, const RawRecord &record) const override
        {
            ++decoded;
            return PlatformRecordCodec::decode(topic, record);
        }
        mutable int decoded = 0;
    };
    Fixture fixture;
    const CountingCodec codec;
    FleetFollower follower(fixture.loop, fixture.store, codec, fixture.view, fixture.observer,
                           Timing);
    const RecordPage backends = Fixture::page({Fixture::backendRecord(4, "one", 1)}, 5);
    follower.applyFeedPage(Topic::Backends, backends, true, fixture.clock.time);
    follower.applyFeedPage(Topic::Backends, Fixture::page({Fixture::backendRecord(6, "two", 1)}, 7),
                           true, fixture.clock.time);
    cr_expect_eq(codec.decoded, 2);
    cr_expect_null(fixture.view.backend(InstanceId("one")));
    cr_expect_not_null(fixture.view.backend(InstanceId("two")));
}

Test(fleetFollower, an_unreadable_configuration_leaves_the_last_sound_one_in_force)
{
    Fixture fixture;
    fixture.startAndList(Fixture::page({}, 0));
    const std::string doubled = R"({"Name":"r","Host":"h","PathPrefix":"/a/","Kind":"stream",)"
                                R"("Service":"s"})";
    RecordPage page = Fixture::page({Fixture::configRecord(1, 2)}, 3);
    page.records.push_back(
        {Offset(2), "config",
         R"({"Version":3,"Services":[],"Routes":[)" + doubled + "," + doubled + "]}"});
    fixture.follower.applyFeedPage(Topic::Operator, page, false, fixture.clock.time);
    cr_expect_eq(fixture.view.table()->version().value(), 2);
    fixture.follower.applyFeedPage(Topic::Operator, Fixture::page({Fixture::configRecord(3, 4)}, 4),
                                   false, fixture.clock.time);
    cr_expect_eq(fixture.view.table()->version().value(), 4);
}
