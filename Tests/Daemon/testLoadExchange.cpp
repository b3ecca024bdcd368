#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <random>

#include <sys/epoll.h>
#include <unistd.h>

#include "ClientLimitCounter.h"
#include "Daemon/LoadExchange.h"
#include "Feed/FeedHarness.h"
#include "FreePort.h"
#include "ManualLoop.h"
#include "Net/Socket.h"
#include "Net/StreamSocket.h"

using namespace lycheearch;

namespace {

constexpr std::uint64_t Account = 1;
constexpr std::uint64_t BadPart = 2;

/// A daemon that exchanges loads and evidence with the others.
struct ExchangingDaemon
{
    ExchangingDaemon(ManualClock &clock, EventLoop &loop, const MemberRegistered &self,
                     const std::vector<MemberRegistered> &members)
        : state(loop)
        , picker(self.instance, self.dataCentre)
        , client(loop, self.instance, self.dataCentre, state.view, state.follower, clock,
                 [](const InstanceId &, const char *) {})
        , peers(self.instance, self.dataCentre)
        , exchange(loop, self.instance, self.dataCentre, state.view, state.follower, client, picker,
                   peers, table, pendingCrashes, clock)
    {
        std::error_code error;
        server = std::make_unique<FeedServer>(
            loop, self.feed, state.follower, [](const FeedEvidence &) {},
            [this](const FeedLoad &load, TimePoint now) { exchange.onRemoteLoad(load, now); },
            FeedLimits{}, unusedLimitObserver(), error);
        cr_assert_not(error);
        state.startAndList(clock.now(), members);
        exchange.start(*server);
        client.start();
    }

    /// Answers each open call of the store: there is nothing new.
    void answerCalls(TimePoint now)
    {
        for (const Topic topic : {Topic::Operator, Topic::Backends, Topic::Own}) {
            if (!state.store.calls[topic].empty()) {
                RecordPage none;
                none.end = state.follower.nextOffset(topic);
                state.store.answer(topic, none, now);
            }
        }
    }

    bool refuses(TimePoint now) { return table.refusedPart(Account, {BadPart}, now).has_value(); }

    TestDaemon state;
    BackendPicker picker;
    CrashTable table;
    PendingCrashes pendingCrashes{table, picker.reach()};
    FeedClient client;
    PeerSelector peers;
    LoadExchange exchange;
    std::unique_ptr<FeedServer> server;
};

} // namespace

namespace {

/// Four daemons in two data centres that follow their sources.
struct ExchangingFleet
{
    ExchangingFleet()
        : loop(clock)
    {
        std::vector<MemberRegistered> members;
        for (const char *name : {"here-1", "here-2", "there-1", "there-2"}) {
            const std::string dataCentre = std::string(name).substr(0, std::string(name).find('-'));
            members.push_back({InstanceId(name),
                               DataCentreId(dataCentre),
                               {"127.0.0.1", freePort()},
                               wallMilliseconds(clock)});
        }
        for (const MemberRegistered &self : members) {
            daemons.push_back(std::make_unique<ExchangingDaemon>(clock, loop, self, members));
        }
        // The first connections fail, since not all daemons have started; they are retried after 3
        // s.
        run(4s);
    }

    void run(Duration time)
    {
        runLoopFor(clock, loop, time, [this] {
            for (const auto &daemon : daemons) {
                daemon->answerCalls(clock.now());
            }
        });
    }

    ManualClock clock;
    EventLoop loop;
    std::vector<std::unique_ptr<ExchangingDaemon>> daemons;
};

} // namespace

Test(loadExchange, evidence_against_a_prompt_reaches_the_followers_of_another_data_centre,
     .timeout = 20)
{
    ExchangingFleet fleet;
    // Each daemon sees one crash or none; a fleet of four has seen three.
    for (std::uint64_t i = 0; i < 3; ++i) {
        fleet.daemons[i]->table.recordCrash({i, i, Account, {BadPart}, Duration::zero()},
                                            fleet.clock.now());
    }
    fleet.run(2s);
    for (const auto &daemon : fleet.daemons) {
        cr_expect(daemon->refuses(fleet.clock.now()));
    }
}

Test(loadExchange, a_rate_limit_that_one_daemon_is_told_reaches_all_and_so_does_its_end,
     .timeout = 20)
{
    const ServerRun server{InstanceId("s"), 1000};
    ExchangingFleet fleet;
    for (const auto &teller : fleet.daemons) {
        teller->picker.rateLimiter().notices().onRateLimit(server, 2.5, fleet.clock.now());
        fleet.run(1500ms);
        for (const auto &daemon : fleet.daemons) {
            cr_expect_eq(daemon->picker.rateLimiter().notices().rateLimit(server).value_or(0), 2.5);
        }
        teller->picker.rateLimiter().notices().onRateLimit(server, std::nullopt, fleet.clock.now());
        fleet.run(1500ms);
        for (const auto &daemon : fleet.daemons) {
            cr_expect_not(daemon->picker.rateLimiter().notices().rateLimit(server));
        }
    }
}

Test(loadExchange, the_speed_of_a_server_that_one_daemon_observed_reaches_all, .timeout = 20)
{
    const ServiceId service("s");
    const InstanceId server("b");
    ExchangingFleet fleet;
    BackendEntry report;
    report.id = server;
    report.service = service;
    report.startedAt = 1000;
    report.slots = 6;
    for (const auto &daemon : fleet.daemons) {
        daemon->state.view.apply({Offset(0), BackendReported{report}}, fleet.clock.now());
        PickRequest request;
        request.service = service;
        PickFault fault = PickFault::None;
        cr_assert(daemon->picker.pick(request, daemon->state.view, fleet.clock.now(), fault));
    }
    for (const auto &teller : fleet.daemons) {
        for (int i = 0; i < 20; ++i) {
            teller->picker.onHostReported(server, 3, fleet.clock.now());
        }
        // One period to the source, one to the other data centre, and a second between two reports.
        fleet.run(2500ms);
        for (const auto &daemon : fleet.daemons) {
            PickRequest request;
            request.service = service;
            PickFault fault = PickFault::None;
            const auto pick =
                daemon->picker.pick(request, daemon->state.view, fleet.clock.now(), fault);
            cr_assert(pick);
            cr_expect(pick->slowness > 1.1, "%g", pick->slowness);
        }
    }
}

Test(loadExchange, all_daemons_learn_which_ones_are_cut_off_from_a_service, .timeout = 20)
{
    const ServiceId service("s");
    ExchangingFleet fleet;
    std::vector<MemberRegistered> members;
    for (const char *name : {"here-1", "here-2", "there-1", "there-2"}) {
        members.push_back({InstanceId(name), DataCentreId("d"), {}, 0, Endpoint{"127.0.0.1", 1}});
    }
    for (const auto &daemon : fleet.daemons) {
        daemon->peers.setMembers(members);
    }
    ServiceReach &reach = fleet.daemons[1]->picker.reach();
    reach.onConnectFailed(service, InstanceId("b"), {{InstanceId("b"), DataCentreId("here")}},
                          fleet.clock.now());
    fleet.run(1500ms);
    const std::set<InstanceId> others{InstanceId("here-1"), InstanceId("there-1"),
                                      InstanceId("there-2")};
    for (const auto &daemon : fleet.daemons) {
        cr_expect_not(daemon->peers.choose(service, others, 1, fleet.clock.now()));
    }
    reach.onReached(service, InstanceId("b"), fleet.clock.now());
    fleet.run(1500ms);
    cr_expect(fleet.daemons[3]->peers.choose(service, others, 1, fleet.clock.now()));
}

namespace {

/// Sends \p requests requests to a server, of \p tokens tokens each.
void putLoad(ExchangingDaemon &daemon, const std::string &server, int requests, double tokens,
             TimePoint now)
{
    Pick pick;
    pick.backend = InstanceId(server);
    pick.prefillTokens = tokens;
    PickRequest request;
    request.service = ServiceId("s");
    request.engine = true;
    for (int i = 0; i < requests; ++i) {
        daemon.picker.onSent(pick, request, now);
    }
}

/// Checks that each daemon believes the sum of what all others have in flight.
void expectEqualLoads(ExchangingFleet &fleet, const char *when)
{
    for (const auto &daemon : fleet.daemons) {
        BackendLoads expected;
        for (const auto &other : fleet.daemons) {
            if (other != daemon) {
                addLoads(expected, other->picker.ownLoads(fleet.clock.now()));
            }
        }
        BackendLoads believed = daemon->picker.otherDaemonsLoads();
        std::erase_if(believed,
                      [](const auto &entry) { return entry.second == BackendLoadShare(); });
        cr_expect(believed == expected, "%s: %zu entries, expected %zu", when, believed.size(),
                  expected.size());
    }
}

/// The daemon that follows the other one of its data centre.
ExchangingDaemon &followerOf(ExchangingFleet &fleet)
{
    return *fleet.daemons[fleet.daemons[0]->state.follower.followingFeed() ? 0 : 1];
}

} // namespace

Test(loadExchange, all_daemons_believe_the_same_loads_after_random_requests, .timeout = 60)
{
    std::mt19937 random(7);
    ExchangingFleet fleet;
    for (int round = 0; round < 12; ++round) {
        for (const auto &daemon : fleet.daemons) {
            for (int i = 0; i < 6; ++i) {
                const InstanceId server("b" + std::to_string(random() % 12));
                if (random() % 2 == 0) {
                    putLoad(*daemon, server.value(), 1, 100, fleet.clock.now());
                } else if (daemon->picker.ownLoads(fleet.clock.now()).contains(server)) {
                    daemon->picker.onEnded(server, SendOutcome::Served, 0, 100, fleet.clock.now());
                }
            }
        }
        fleet.run(Duration(random() % 300'000));
        if (round % 3 == 0) {
            fleet.run(1s);
            expectEqualLoads(fleet, "after a round");
        }
    }
}

Test(loadExchange, a_daemon_that_reads_the_store_for_a_while_believes_the_loads_again,
     .timeout = 20)
{
    ExchangingFleet fleet;
    for (const auto &daemon : fleet.daemons) {
        putLoad(*daemon, "b1", 2, 100, fleet.clock.now());
    }
    fleet.run(1s);
    ExchangingDaemon &follower = followerOf(fleet);
    cr_assert(follower.state.follower.followingFeed());
    putLoad(follower, "b2", 1, 100, fleet.clock.now());
    // Heartbeats of the source would make it follow again before it adds up loads itself.
    for (int i = 0; i < 50; ++i) {
        follower.state.follower.setFollowingFeed(false);
        fleet.run(10ms);
    }
    putLoad(*fleet.daemons[3], "b3", 1, 100, fleet.clock.now());
    fleet.run(2s);
    cr_assert(follower.state.follower.followingFeed());
    expectEqualLoads(fleet, "after it follows again");
}

// The source learns the loads of its followers again, also those that did not change meanwhile.
Test(loadExchange, loads_are_reported_again_over_a_new_connection, .timeout = 20)
{
    ExchangingFleet fleet;
    for (const auto &daemon : fleet.daemons) {
        putLoad(*daemon, "b1", 2, 100, fleet.clock.now());
    }
    fleet.run(1s);
    ExchangingDaemon &follower = followerOf(fleet);
    StreamSocketListener &connection = follower.client;
    connection.onEnd(fleet.clock.now());
    fleet.run(5s);
    cr_assert(follower.state.follower.followingFeed());
    expectEqualLoads(fleet, "after a reconnect");
}

Test(loadExchange, daemons_that_are_gone_leave_no_load_behind, .timeout = 20)
{
    ExchangingFleet fleet;
    for (const auto &daemon : fleet.daemons) {
        putLoad(*daemon, "b1", 2, 100, fleet.clock.now());
    }
    fleet.run(1s);
    expectEqualLoads(fleet, "with all");
    const std::size_t follower = fleet.daemons[0]->state.follower.followingFeed() ? 0 : 1;
    fleet.daemons.erase(fleet.daemons.begin() + static_cast<std::ptrdiff_t>(follower));
    fleet.run(3s);
    expectEqualLoads(fleet, "without a follower");
    fleet.daemons.erase(fleet.daemons.begin() + 1, fleet.daemons.end());
    fleet.run(3s);
    expectEqualLoads(fleet, "cut off from the other data centre");
}

namespace {

/// A source that keeps the loads that its one follower reports. A source of an older build tells
/// no period.
struct FakeSource : IoHandler, StreamSocketListener
{
    FakeSource(EventLoop &eventLoop, const Endpoint &listen, Duration toldPeriod)
        : loop(eventLoop)
        , period(toldPeriod)
    {
        std::error_code error;
        listener = listenTcp(listen, error);
        cr_assert_not(error);
        loop.watch(listener, EPOLLIN, *this);
    }

    ~FakeSource() override
    {
        loop.unwatch(listener);
        close(listener);
    }

    void sendTotal()
    {
        FeedLoad total;
        total.period = period;
        if (socket) {
            socket->send(encodeFeedFrame(FeedHeartbeat{Duration::zero()}) + encodeFeedFrame(total));
        }
    }

    void onReady(std::uint32_t, TimePoint) override
    {
        std::error_code error;
        const int fd = acceptTcp(listener, error);
        if (fd >= 0) {
            socket =
                std::make_unique<StreamSocket>(loop, fd, StreamSocket::Start::Connected, *this);
        }
    }
    void onBytes(std::string_view bytes, TimePoint) override
    {
        std::vector<FeedMessage> messages;
        cr_assert(reader.feed(bytes, messages));
        for (const FeedMessage &message : messages) {
            if (const auto *load = std::get_if<FeedLoad>(&message)) {
                reports.push_back(*load);
            }
        }
    }
    void onEnd(TimePoint) override { }
    void onError(std::error_code, TimePoint) override { }

    EventLoop &loop;
    Duration period;
    int listener = -1;
    std::unique_ptr<StreamSocket> socket;
    FeedFrameReader reader;
    std::vector<FeedLoad> reports;
};

/// The reports of a follower that sends to one server, then also to another.
std::vector<FeedLoad> reportsTo(Duration toldPeriod)
{
    ManualClock clock;
    EventLoop loop(clock);
    std::vector<MemberRegistered> members;
    for (const char *name : {"a", "b"}) {
        members.push_back({InstanceId(name),
                           DataCentreId("here"),
                           {"127.0.0.1", freePort()},
                           wallMilliseconds(clock)});
    }
    if (feedRank(members[0].instance) > feedRank(members[1].instance)) {
        std::swap(members[0], members[1]);
    }
    FakeSource source(loop, members[0].feed, toldPeriod);
    ExchangingDaemon daemon(clock, loop, members[1], members);
    const auto step = [&] {
        source.sendTotal();
        daemon.answerCalls(clock.now());
    };
    runLoopFor(clock, loop, 600ms, step);
    putLoad(daemon, "b1", 1, 100, clock.now());
    runLoopFor(clock, loop, 600ms, step);
    putLoad(daemon, "b2", 1, 100, clock.now());
    runLoopFor(clock, loop, 600ms, step);
    return source.reports;
}

} // namespace

Test(loadExchange, an_older_source_gets_the_whole_load_and_a_newer_one_what_changed, .timeout = 20)
{
    const std::vector<FeedLoad> whole = reportsTo(Duration::zero());
    cr_assert_eq(whole.size(), 2);
    cr_expect(!whole[1].changesOnly && whole[1].loads.size() == 2);
    const std::vector<FeedLoad> changes = reportsTo(200ms);
    cr_assert_eq(changes.size(), 2);
    cr_expect(changes[1].changesOnly && changes[1].loads.size() == 1);
    cr_expect(changes[1].loads.contains(InstanceId("b2")));
}
