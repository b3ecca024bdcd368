#include <criterion/criterion.h>

#include <functional>
#include <limits>
#include <random>

#include "ClientLimitCounter.h"
#include "Feed/FeedHarness.h"
#include "FreePort.h"
#include "ManualLoop.h"

using namespace lycheearch;

namespace {

std::vector<FeedMessage> readAll(std::string_view bytes, std::size_t chunkSize)
{
    FeedFrameReader reader;
    std::vector<FeedMessage> messages;
    while (!bytes.empty()) {
        cr_assert(reader.feed(bytes.substr(0, chunkSize), messages));
        bytes.remove_prefix(std::min(chunkSize, bytes.size()));
    }
    return messages;
}

MemberRegistered member(const std::string &name, const std::string &dataCentreName, std::int64_t at)
{
    return {InstanceId(name), DataCentreId(dataCentreName), {"127.0.0.1", 1}, at};
}

} // namespace

Test(feed, messages_are_decoded_from_chunks_of_any_size)
{
    RecordPage page;
    page.end = Offset(8);
    page.records = {{Offset(7), "key", std::string("a\0b", 3)}, {Offset(6), "gone", ""}};
    FeedEvidence evidence;
    evidence.evidence = {
        {InstanceId("d"), ServiceId("s"), VersionId("v"), 2, {1, 2, 3, 4, 5}, {6, 7, 8, 9, 10}}};
    evidence.evidence[0].otherCounts.answerDelays.addWaiting(3s);
    evidence.evidence[0].countedAfter = 400ms;
    FeedLoad load{
        DataCentreId("here"),
        {},
        {{~std::uint64_t{0}, InstanceId("e1")}, {7, InstanceId("e2")}},
        {},
        {{{InstanceId("e1"), 1000}, 1.5, 3ms}, {{InstanceId("e2"), 0}, std::nullopt, 4ms}}};
    load.crashEvidence.crashes = {{1, 2, 3, {4, ~std::uint64_t{0}}, 5ms, {12, {13, 14}}}};
    load.crashEvidence.successes = {{{6, 7}, 8ms}};
    load.crashEvidence.condemned = {{{9, 10}, 11ms}};
    load.loads[InstanceId("e1")] = {{1, 2.5, 3}, 4, 1};
    load.speeds = {{{InstanceId("e1"), 1000}, 1.5, 0.5, 2.5, 6ms},
                   {{InstanceId("e2"), 0}, 1, 2, std::nullopt, Duration::zero()}};
    const std::string bytes = encodeFeedFrame(FeedSubscribe{InstanceId("me")})
        + encodeFeedFrame(FeedPage{Topic::Backends, true, page})
        + encodeFeedFrame(FeedHeartbeat{Duration(5ms)}) + encodeFeedFrame(FeedHeartbeat{})
        + encodeFeedFrame(evidence) + encodeFeedFrame(load);
    for (const std::size_t chunkSize : {std::size_t{1}, std::size_t{7}, bytes.size()}) {
        const auto messages = readAll(bytes, chunkSize);
        cr_assert_eq(messages.size(), 6);
        cr_expect_str_eq(std::get<FeedSubscribe>(messages[0]).instance.value().c_str(), "me");
        const auto &read = std::get<FeedPage>(messages[1]);
        cr_expect(read.listing && read.topic == Topic::Backends);
        cr_expect_eq(read.page.records[0].value.size(), 3);
        cr_expect_eq(std::get<FeedHeartbeat>(messages[2]).storeStaleness->count(),
                     Duration(5ms).count());
        cr_expect_not(std::get<FeedHeartbeat>(messages[3]).storeStaleness.has_value());
        cr_expect(std::get<FeedEvidence>(messages[4]).evidence == evidence.evidence);
        const auto &received = std::get<FeedLoad>(messages[5]);
        cr_expect(received.dataCentre == load.dataCentre && received.loads == load.loads
                  && received.promptCacheEntries == load.promptCacheEntries
                  && received.crashEvidence == load.crashEvidence
                  && received.rateLimits == load.rateLimits && received.speeds == load.speeds);
    }
}

Test(feed, speeds_that_are_no_sound_figures_are_left_out)
{
    constexpr double noNumber = std::numeric_limits<double>::quiet_NaN();
    const ServerRun server{InstanceId("e1"), 1000};
    FeedLoad load;
    load.speeds = {{server, noNumber, 1, std::nullopt, Duration::zero()},
                   {server, 1, 1e300, std::nullopt, Duration::zero()},
                   {server, -1, 1, std::nullopt, Duration::zero()},
                   {server, 1, 1, noNumber, Duration::zero()},
                   {server, 1, 1, -2.5, Duration::zero()},
                   {server, 1, 1, 2.5, Duration::min()},
                   {server, 1, 1, 2.5, Duration::zero()}};
    const std::string bytes = encodeFeedFrame(load);
    const auto received = std::get<FeedLoad>(readAll(bytes, bytes.size()).at(0)).speeds;
    cr_assert_eq(received.size(), 1);
    cr_expect(received[0] == load.speeds.back());
}

Test(feed, a_large_page_is_compressed)
{
    RecordPage page;
    page.records = {{Offset(0), "config", std::string(200'000, 'x')}};
    const std::string frame = encodeFeedFrame(FeedPage{Topic::Operator, false, page});
    cr_expect(frame.size() < 20'000, "%zu", frame.size());
    const auto messages = readAll(frame, frame.size());
    cr_expect_eq(std::get<FeedPage>(messages.at(0)).page.records[0].value.size(), 200'000);
}

Test(feed, corrupted_bytes_yield_at_most_one_message)
{
    std::mt19937 random(17);
    for (int round = 0; round < 2000; ++round) {
        std::string bytes = encodeFeedFrame(FeedSubscribe{InstanceId("me")});
        const std::size_t flips = 1 + random() % 8;
        for (std::size_t i = 0; i < flips; ++i) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        FeedFrameReader reader;
        std::vector<FeedMessage> messages;
        reader.feed(bytes, messages);
        cr_expect(messages.size() <= 1);
    }
}

Test(feed, members_of_a_data_centre_agree_on_the_feed_order)
{
    std::map<InstanceId, MemberRegistered> members;
    for (const char *name : {"a", "b", "c", "d"}) {
        members[InstanceId(name)] = member(name, "here", 1'000'000);
    }
    members[InstanceId("x")] = member("x", "there", 1'000'000);
    members[InstanceId("old")] = member("old", "here", 0);
    int withoutSource = 0;
    std::set<InstanceId> firsts;
    for (const char *name : {"a", "b", "c", "d"}) {
        const auto candidates =
            feedCandidates(members, InstanceId(name), DataCentreId("here"), 1'000'000);
        withoutSource += candidates.empty() ? 1 : 0;
        for (const MemberRegistered &candidate : candidates) {
            cr_expect(candidate.dataCentre == DataCentreId("here"));
            cr_expect(candidate.instance != InstanceId("old"));
        }
        if (!candidates.empty()) {
            firsts.insert(candidates.front().instance);
        }
    }
    cr_expect_eq(withoutSource, 1);
    cr_expect_eq(firsts.size(), 1);
}

namespace {

/// A daemon that reads the store and one of the same data centre that follows it.
struct FeedPair
{
    FeedPair()
        : loop(clock)
        , reader(loop)
        , follower(loop)
    {
        // The first daemon in the feed order is the one that reads the store.
        const bool aFirst = feedRank(InstanceId("a")) < feedRank(InstanceId("b"));
        source = InstanceId(aFirst ? "a" : "b");
        const InstanceId self(aFirst ? "b" : "a");
        const Endpoint listen{"127.0.0.1", freePort()};
        std::error_code error;
        server = std::make_unique<FeedServer>(
            loop, listen, reader.follower, [](const FeedEvidence &) {},
            [](const FeedLoad &, TimePoint) {}, FeedLimits{}, unusedLimitObserver(), error);
        cr_assert_not(error);
        reader.observer.server = server.get();
        const std::vector<MemberRegistered> members = {{source, DataCentreId("here"), listen, wall},
                                                       member(self.value(), "here", wall)};
        reader.startAndList(clock.now(), members);
        follower.startAndList(clock.now(), members);
        client = std::make_unique<FeedClient>(loop, self, DataCentreId("here"), follower.view,
                                              follower.follower, clock,
                                              [](const InstanceId &, const char *) {});
        client->start();
    }

    /// Calls \p action at \p time after the start.
    void at(Duration time, const std::function<void()> &action)
    {
        loop.at(start + time, [action](TimePoint) { action(); });
    }

    SystemClock clock;
    EventLoop loop;
    const std::int64_t wall = wallMilliseconds(clock);
    const TimePoint start = clock.now();
    TestDaemon reader;
    TestDaemon follower;
    InstanceId source;
    std::unique_ptr<FeedServer> server;
    std::unique_ptr<FeedClient> client;
};

} // namespace

Test(feed, a_follower_stops_reading_the_store_until_its_source_disconnects, .timeout = 20)
{
    FeedPair pair;
    pair.at(600ms, [&] {
        cr_expect(pair.follower.follower.followingFeed());
        RecordPage page;
        page.records = {{Offset(0), "i-1",
                         R"({"Service":"s","Address":"10.0.0.1:80","Zone":"d","Version":"v1",
                            "Slots":4,"State":"ready","ColdMs":0,"Sequence":1})"}};
        page.end = Offset(1);
        pair.reader.store.answer(Topic::Backends, page, pair.loop.now());
    });
    pair.at(800ms, [&] {
        cr_expect_not_null(pair.follower.view.backend(InstanceId("i-1")));
        pair.reader.observer.server = nullptr;
        pair.server.reset();
    });
    pair.at(1500ms, [&] {
        cr_expect_not(pair.follower.follower.followingFeed());
        pair.loop.stop();
    });
    pair.loop.run();
}

Test(feed, followers_are_not_sent_rollout_evidence_and_miss_no_record, .timeout = 20)
{
    FeedPair pair;
    EvidenceCollected bundle;
    bundle.collector = pair.source;
    bundle.evidence = {{pair.source, ServiceId("s"), VersionId("v2"), 1, {}, {}}};
    pair.at(500ms, [&] { pair.reader.follower.pollNow(Topic::Own); });
    pair.at(600ms, [&] {
        cr_expect(pair.follower.follower.followingFeed());
        RecordPage page;
        page.records = {pair.reader.codec.encode(bundle),
                        pair.reader.codec.encode(member("c", "here", pair.wall))};
        page.records[0].offset = Offset(2);
        page.records[1].offset = Offset(3);
        page.end = Offset(4);
        pair.reader.store.answer(Topic::Own, page, pair.loop.now());
    });
    pair.at(900ms, [&] {
        cr_expect_eq(pair.reader.view.evidence().at(pair.source).evidence.size(), 1);
        cr_expect(pair.follower.view.evidence().at(pair.source).evidence.empty());
        cr_expect(pair.follower.view.members().contains(InstanceId("c")));
        cr_expect(pair.follower.follower.nextOffset(Topic::Own) == Offset(4));
        cr_expect(pair.follower.follower.followingFeed());
        pair.loop.stop();
    });
    pair.loop.run();
}

Test(feed, a_follower_that_lost_the_store_gets_the_configuration_from_a_source_that_came_back,
     .timeout = 20)
{
    ManualClock clock;
    EventLoop loop(clock);
    bool checked = false;
    const std::int64_t wall = wallMilliseconds(clock);
    std::map<InstanceId, MemberRegistered> both;
    both[InstanceId("a")] = member("a", "here", wall);
    both[InstanceId("b")] = member("b", "here", wall);
    const bool aFirst = feedCandidates(both, InstanceId("a"), DataCentreId("here"), wall).empty();
    const InstanceId source(aFirst ? "a" : "b");
    const InstanceId self(aFirst ? "b" : "a");
    const Endpoint listen{"127.0.0.1", freePort()};
    const std::vector<MemberRegistered> members = {{source, DataCentreId("here"), listen, wall},
                                                   member(self.value(), "here", wall)};
    TestDaemon follower(loop);
    follower.startAndList(clock.now(), members);
    FeedClient client(loop, self, DataCentreId("here"), follower.view, follower.follower, clock,
                      [](const InstanceId &, const char *) {});
    client.start();
    // The store fails each call of this daemon, and the source is down.
    const TimePoint begin = clock.now();
    std::function<void(TimePoint)> failCalls = [&](TimePoint now) {
        for (auto &[topic, calls] : follower.store.calls) {
            if (!calls.empty()) {
                follower.store.fail(topic, StoreFault::Unreachable, now);
            }
        }
        if (now - begin < 8s) {
            loop.at(now + 100ms, failCalls);
        }
    };
    failCalls(begin);
    TestDaemon reader(loop);
    std::unique_ptr<FeedServer> server;
    loop.at(begin + 4500ms, [&](TimePoint now) {
        std::error_code error;
        server = std::make_unique<FeedServer>(
            loop, listen, reader.follower, [](const FeedEvidence &) {},
            [](const FeedLoad &, TimePoint) {}, FeedLimits{}, unusedLimitObserver(), error);
        cr_assert_not(error);
        reader.startAndList(now, members);
        RecordPage page;
        page.records = {{Offset(1), "config", R"({"Version":2,"Routes":[],"Services":[]})"}};
        page.end = Offset(2);
        reader.follower.applyFeedPage(Topic::Operator, page, false, now);
    });
    // The bound for a new configuration is 2 s.
    loop.at(begin + 4500ms + 1200ms, [&](TimePoint) {
        cr_expect_eq(follower.view.table()->version(), ConfigVersion(2));
        checked = true;
    });
    runLoopFor(clock, loop, 6s);
    cr_expect(checked);
}

Test(feed, a_daemon_that_the_store_serves_reads_it_while_its_sources_are_turned_away, .timeout = 20)
{
    ManualClock clock;
    EventLoop loop(clock);
    bool checked = false;
    const std::int64_t wall = wallMilliseconds(clock);
    constexpr int sources = 3;
    std::vector<MemberRegistered> members;
    for (const char *name : {"a", "b", "c", "d"}) {
        members.push_back(
            {InstanceId(name), DataCentreId("here"), {"127.0.0.1", freePort()}, wall});
    }
    std::sort(members.begin(), members.end(), [](const auto &left, const auto &right) {
        return feedRank(left.instance) < feedRank(right.instance);
    });
    std::vector<std::unique_ptr<TestDaemon>> readers;
    std::vector<std::unique_ptr<FeedServer>> servers;
    for (int i = 0; i < sources; ++i) {
        readers.push_back(std::make_unique<TestDaemon>(loop));
        std::error_code error;
        servers.push_back(std::make_unique<FeedServer>(
            loop, members[static_cast<std::size_t>(i)].feed, readers.back()->follower,
            [](const FeedEvidence &) {}, [](const FeedLoad &, TimePoint) {}, FeedLimits{},
            unusedLimitObserver(), error));
        cr_assert_not(error);
        readers.back()->observer.server = servers.back().get();
        readers.back()->startAndList(clock.now(), members);
    }
    TestDaemon follower(loop);
    follower.startAndList(clock.now(), members);
    FeedClient client(loop, members.back().instance, DataCentreId("here"), follower.view,
                      follower.follower, clock, [](const InstanceId &, const char *) {});
    client.start();
    // The store answers none of the sources from now on, so they become stale after a second. It
    // serves the follower.
    const TimePoint begin = clock.now();
    RecordPage config;
    config.records = {{Offset(1), "config", R"({"Version":2,"Routes":[],"Services":[]})"}};
    config.end = Offset(2);
    std::function<void(TimePoint)> answerCalls = [&](TimePoint now) {
        const bool published = now - begin > 2500ms;
        for (const Topic topic : {Topic::Operator, Topic::Backends, Topic::Own}) {
            while (published && !follower.store.calls[topic].empty()) {
                RecordPage none;
                none.end = follower.follower.nextOffset(topic);
                follower.store.answer(topic, topic == Topic::Operator ? config : none, now);
            }
        }
        loop.at(now + 50ms, answerCalls);
    };
    answerCalls(begin);
    // The bound for a new configuration is 2 s.
    loop.at(begin + 2500ms + 1500ms, [&](TimePoint) {
        cr_expect_eq(follower.view.table()->version(), ConfigVersion(2));
        checked = true;
    });
    runLoopFor(clock, loop, 4500ms);
    cr_expect(checked);
}
