#include <criterion/criterion.h>

#include <algorithm>
#include <memory>

#include "Daemon/LoadExchange.h"
#include "Feed/FeedHarness.h"
#include "FreePort.h"
#include "ManualLoop.h"

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
            error);
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
