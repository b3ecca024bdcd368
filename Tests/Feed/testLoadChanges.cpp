#include <criterion/criterion.h>

#include <cstdio>
#include <memory>
#include <random>

#include "ClientLimitCounter.h"
#include "Feed/FeedHarness.h"
#include "Feed/FeedTiming.h"
#include "Feed/LoadChanges.h"
#include "FreePort.h"
#include "ManualLoop.h"
#include "Net/Socket.h"
#include "Net/StreamSocket.h"

using namespace lycheearch;

namespace {

InstanceId serverId(int number)
{
    char name[32];
    std::snprintf(name, sizeof name, "explica-%c-%04d", 'a' + number % 3, number);
    return InstanceId(name);
}

/// Tokens are whole numbers, so that sums don't depend on their order.
BackendLoadShare randomShare(std::mt19937 &random)
{
    BackendLoadShare share;
    share.tokens[random() % UrgencyClassCount] = static_cast<double>(random() % 4000);
    share.requests = static_cast<int>(1 + random() % 5);
    share.unreachable = random() % 16 == 0 ? 1 : 0;
    return share;
}

BackendLoads withoutIdle(BackendLoads loads)
{
    std::erase_if(loads, [](const auto &entry) { return entry.second == BackendLoadShare(); });
    return loads;
}

/// A follower as a source and its own daemon see it.
struct Follower
{
    BackendLoads own; ///< As last reported.
    FollowedLoads followed;
    BackendLoads picker; ///< What its BackendPicker has, changed entry by entry.
    bool keepsTotal = false; ///< False after a connection, and always for a daemon of an old build.
    bool old = false;
};

void receive(Follower &follower, const FeedLoad &message)
{
    std::vector<FeedMessage> messages;
    cr_assert(FeedFrameReader().feed(encodeFeedFrame(message), messages));
    follower.followed.apply(std::get<FeedLoad>(messages.at(0)), follower.own);
    if (message.changesOnly) {
        applyChangedLoads(follower.picker, follower.followed.changedOthers());
    } else {
        follower.picker = withoutIdle(follower.followed.others());
    }
}

} // namespace

// Any sequence of loads, joins, losses, reconnects and changes of the source: what a follower
// believes is the total without its own part.
Test(loadChanges, followers_believe_the_loads_of_all_others_after_any_sequence, .timeout = 120)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        std::vector<Follower> followers(3);
        BackendLoads sent; // The last total of the present source.
        for (int round = 0; round < 100; ++round) {
            if (random() % 10 == 0 && followers.size() < 8) {
                followers.emplace_back().old = random() % 4 == 0;
            } else if (random() % 12 == 0 && followers.size() > 1) {
                followers.erase(followers.begin()
                                + static_cast<std::ptrdiff_t>(random() % followers.size()));
            } else if (random() % 12 == 0) {
                Follower &reconnected = followers[random() % followers.size()];
                reconnected.keepsTotal = false;
            } else if (random() % 25 == 0) {
                sent.clear(); // Another source, which knows of no total.
                for (Follower &follower : followers) {
                    follower.keepsTotal = false;
                }
            }
            BackendLoads total;
            for (Follower &follower : followers) {
                for (int change = 0; change < 5; ++change) {
                    const InstanceId id = serverId(static_cast<int>(random() % 30));
                    if (random() % 2 == 0) {
                        follower.own.erase(id);
                    } else {
                        follower.own[id] = randomShare(random);
                    }
                }
                addLoads(total, follower.own);
            }
            const BackendLoads changed = changedLoads(sent, total);
            for (Follower &follower : followers) {
                FeedLoad message;
                message.changesOnly = follower.keepsTotal;
                message.loads = follower.keepsTotal ? changed : total;
                receive(follower, message);
                follower.keepsTotal = !follower.old;
                BackendLoads expected = total;
                subtractLoads(expected, follower.own);
                cr_assert(withoutIdle(follower.followed.others()) == withoutIdle(expected),
                          "seed %u, round %d", seed, round);
                cr_assert(follower.picker == withoutIdle(expected), "seed %u, round %d", seed,
                          round);
            }
            sent = total;
        }
    }
}

Test(loadChanges, an_entry_that_ends_is_sent_without_load)
{
    BackendLoads before;
    before[serverId(1)] = {{1, 2, 3}, 4, 0, 0};
    before[serverId(2)] = {{1, 2, 3}, 4, 0, 0};
    BackendLoads after;
    after[serverId(2)] = {{1, 2, 3}, 4, 0, 0};
    after[serverId(3)] = {{}, 0, 0, 1};
    const BackendLoads changed = changedLoads(before, after);
    cr_assert_eq(changed.size(), 2);
    cr_expect(changed.at(serverId(1)) == BackendLoadShare());
    cr_expect(changed.at(serverId(3)) == after.at(serverId(3)));
    applyChangedLoads(before, changed);
    cr_expect(before == after);
}

Test(loadChanges, fields_of_changes_pass_and_a_wild_period_is_bounded)
{
    FeedLoad load;
    load.changesOnly = true;
    load.period = 3600s;
    load.promptCacheEntries = {{7, serverId(1)}};
    load.loads[serverId(2)] = BackendLoadShare();
    std::vector<FeedMessage> messages;
    cr_assert(FeedFrameReader().feed(
        encodeFeedFrame(load) + encodeFeedFrame(FeedSubscribe{InstanceId("me"), false}), messages));
    const auto &read = std::get<FeedLoad>(messages.at(0));
    cr_expect(read.changesOnly && read.period == MaxLoadPeriod);
    cr_expect(read.loads == load.loads && read.promptCacheEntries == load.promptCacheEntries);
    cr_expect_not(std::get<FeedSubscribe>(messages.at(1)).acceptsLoadChanges);
}

// 285 kB/s is what the busiest daemon of 100 sends in all.
namespace {

/// A follower that keeps what it receives.
struct RecordingFollower : StreamSocketListener
{
    RecordingFollower(EventLoop &loop, const Endpoint &feed, bool acceptsLoadChanges)
    {
        std::error_code error;
        const int fd = connectTcp(feed, error);
        cr_assert(fd >= 0);
        socket = std::make_unique<StreamSocket>(loop, fd, StreamSocket::Start::Connecting, *this);
        socket->send(encodeFeedFrame(FeedSubscribe{InstanceId("f"), acceptsLoadChanges}));
    }

    void onBytes(std::string_view bytes, TimePoint) override
    {
        std::vector<FeedMessage> messages;
        cr_assert(reader.feed(bytes, messages));
        for (const FeedMessage &message : messages) {
            if (const auto *load = std::get_if<FeedLoad>(&message)) {
                loads.push_back(*load);
            }
        }
    }
    void onEnd(TimePoint) override { }
    void onError(std::error_code, TimePoint) override { }

    std::unique_ptr<StreamSocket> socket;
    FeedFrameReader reader;
    std::vector<FeedLoad> loads;
};

} // namespace

Test(loadChanges, only_followers_that_accept_changes_get_them_and_only_after_a_total, .timeout = 20)
{
    ManualClock clock;
    EventLoop loop(clock);
    TestDaemon state(loop);
    const Endpoint feed{"127.0.0.1", freePort()};
    std::error_code error;
    FeedServer server(
        loop, feed, state.follower, [](const FeedEvidence &) {}, [](const FeedLoad &, TimePoint) {},
        FeedLimits{}, unusedLimitObserver(), error);
    cr_assert_not(error);
    state.startAndList(clock.now(), {});
    RecordingFollower present(loop, feed, true);
    RecordingFollower old(loop, feed, false);
    runLoopFor(clock, loop, 100ms);
    FeedLoad load;
    for (int i = 0; i < 50; ++i) {
        load.loads[serverId(i)] = {{100, 0, 0}, 1, 0, 0};
    }
    server.broadcastLoad(load);
    load.loads[serverId(7)].requests = 2;
    load.loads.erase(serverId(8));
    server.broadcastLoad(load);
    runLoopFor(clock, loop, 100ms);
    RecordingFollower late(loop, feed, true);
    runLoopFor(clock, loop, 100ms);
    server.broadcastLoad(load);
    load.loads.clear();
    server.broadcastLoad(load);
    runLoopFor(clock, loop, 100ms);
    cr_assert_eq(old.loads.size(), 4);
    for (const FeedLoad &received : old.loads) {
        cr_expect_not(received.changesOnly);
    }
    cr_expect_eq(old.loads[1].loads.size(), 49);
    cr_assert_eq(present.loads.size(), 4);
    cr_expect(!present.loads[0].changesOnly && present.loads[1].changesOnly);
    cr_expect_eq(present.loads[1].loads.size(), 2);
    cr_expect_eq(present.loads[2].loads.size(), 0);
    cr_assert_eq(late.loads.size(), 2);
    cr_expect(!late.loads[0].changesOnly && late.loads[0].loads.size() == 49);
    FollowedLoads followed;
    for (const FeedLoad &received : late.loads) {
        followed.apply(received, {});
    }
    cr_expect(followed.others().empty());
}

namespace {

/// Reads a frame and applies it, as a follower does. Instructions are counted by hand with
/// callgrind, which tells these two functions apart.
[[gnu::noinline]] void readWholeTotal(const std::string &frame, BackendLoads &others)
{
    std::vector<FeedMessage> messages;
    cr_assert(FeedFrameReader().feed(frame, messages));
    others = std::get<FeedLoad>(messages.at(0)).loads;
    subtractLoads(others, {});
}

[[gnu::noinline]] void readChanges(const std::string &frame, FollowedLoads &followed,
                                   BackendLoads &others)
{
    std::vector<FeedMessage> messages;
    cr_assert(FeedFrameReader().feed(frame, messages));
    followed.apply(std::get<FeedLoad>(messages.at(0)), {});
    applyChangedLoads(others, followed.changedOthers());
}

[[gnu::noinline]] std::string encodeWholeTotal(const FeedLoad &total)
{
    return encodeFeedFrame(total);
}

[[gnu::noinline]] std::string encodeChanges(const BackendLoads &before, const FeedLoad &total)
{
    FeedLoad changes;
    changes.changesOnly = true;
    changes.loads = changedLoads(before, total.loads);
    return encodeFeedFrame(changes);
}

} // namespace

// Bytes and entries of one period at a source, whole totals against changes; prints the table of
// docs/CAPACITY.md.
Test(loadChanges, cost_of_a_period_at_the_source, .timeout = 120)
{
    std::printf("followers servers changed%%  bytes: totals  changes  entries: totals  changes\n");
    for (const int servers : {60, 1000, 3000}) {
        for (const int percent : {5, 30, 100}) {
            std::mt19937 random(17);
            FeedLoad total;
            for (int i = 0; i < servers; ++i) {
                total.loads[serverId(i)] = randomShare(random);
            }
            const BackendLoads before = total.loads;
            for (auto &[id, share] : total.loads) {
                if (static_cast<int>(random() % 100) < percent) {
                    share = randomShare(random);
                }
            }
            const std::string totalFrame = encodeWholeTotal(total);
            const std::string changesFrame = encodeChanges(before, total);
            const std::size_t changedEntries = changedLoads(before, total.loads).size();
            const std::size_t totalBytes = totalFrame.size();
            const std::size_t changedBytes = changesFrame.size();
            FollowedLoads followed;
            FeedLoad earlier;
            earlier.loads = before;
            followed.apply(earlier, {});
            BackendLoads others = before;
            readChanges(changesFrame, followed, others);
            cr_expect(others == total.loads);
            BackendLoads whole = before;
            readWholeTotal(totalFrame, whole);
            cr_expect(others == whole);
            for (const std::size_t followers : {8, 28, 100}) {
                std::printf("%9zu %7d %8d %14zu %8zu %16zu %8zu\n", followers, servers, percent,
                            followers * totalBytes, followers * changedBytes, total.loads.size(),
                            changedEntries);
            }
            if (percent == 5 && servers >= 1000) {
                cr_expect(changedBytes * 5 < totalBytes, "%zu, %zu", changedBytes, totalBytes);
            }
            cr_expect(changedBytes <= totalBytes + totalBytes / 50);
        }
    }
}
