#include <criterion/criterion.h>

#include <array>

#include <sys/socket.h>
#include <unistd.h>

#include "ClientLimitCounter.h"
#include "Feed/DataCentreHarness.h"
#include "Feed/FeedTiming.h"
#include "LongTurn.h"

// Feeds when the event loop of a daemon is held up.

using namespace lycheearch;

namespace {

/// A follower that is not on the event loop.
class KernelFollower
{
public:
    explicit KernelFollower(const Endpoint &feed)
    {
        std::error_code error;
        m_fd = connectTcp(feed, error);
        cr_assert_geq(m_fd, 0);
    }
    ~KernelFollower() { close(m_fd); }

    void subscribe() const
    {
        const std::string frame = encodeFeedFrame(FeedSubscribe{InstanceId("f")});
        cr_assert_eq(write(m_fd, frame.data(), frame.size()), static_cast<ssize_t>(frame.size()));
    }
    /// The heartbeats received since the last call.
    std::vector<FeedHeartbeat> heartbeats()
    {
        std::array<char, 65536> buffer{};
        const ssize_t count = recv(m_fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
        std::vector<FeedMessage> messages;
        if (count > 0) {
            cr_assert(m_reader.feed({buffer.data(), static_cast<std::size_t>(count)}, messages));
        }
        std::vector<FeedHeartbeat> found;
        for (const FeedMessage &message : messages) {
            if (const auto *heartbeat = std::get_if<FeedHeartbeat>(&message)) {
                found.push_back(*heartbeat);
            }
        }
        return found;
    }

private:
    int m_fd = -1;
    FeedFrameReader m_reader;
};

/// A daemon that reads the store and serves its feed. The test answers its calls.
struct Source
{
    Source()
        : loop(clock)
        , state(loop)
    {
        std::error_code error;
        server = std::make_unique<FeedServer>(
            loop, feed, state.follower, [](const FeedEvidence &) {},
            [](const FeedLoad &, TimePoint) {}, FeedLimits{}, unusedLimitObserver(), error);
        cr_assert_not(error);
        state.startAndList(clock.now(), {});
    }

    void runFor(Duration span) { runLoopFor(clock, loop, span); }
    /// Answers all open calls.
    void answerCalls(TimePoint now)
    {
        for (const Topic topic : {Topic::Operator, Topic::Backends}) {
            while (!state.store.calls[topic].empty()) {
                RecordPage none;
                none.end = state.follower.nextOffset(topic);
                state.store.answer(topic, none, now);
            }
        }
    }

    ManualClock clock;
    EventLoop loop;
    TestDaemon state;
    const Endpoint feed{"127.0.0.1", freePort()};
    std::unique_ptr<FeedServer> server;
};

void expectFresh(const std::vector<FeedHeartbeat> &heartbeats)
{
    cr_assert_geq(heartbeats.size(), 1);
    for (const FeedHeartbeat &heartbeat : heartbeats) {
        cr_expect(heartbeat.storeStaleness && *heartbeat.storeStaleness <= FeedStalenessLimit);
    }
}

/// Longer than FeedReceiveTimeout and FeedStalenessLimit.
constexpr Duration LongTurn = 1200ms;

} // namespace

Test(feed, a_source_that_took_a_long_turn_does_not_send_that_it_is_stale, .timeout = 20)
{
    Source source;
    KernelFollower follower(source.feed);
    follower.subscribe();
    source.runFor(100ms);
    expectFresh(follower.heartbeats());
    source.clock.time += LongTurn;
    source.runFor(FeedHeartbeatPeriod);
    expectFresh(follower.heartbeats());
}

Test(feed, a_subscription_read_before_an_answer_of_the_store_is_not_told_that_the_source_is_stale,
     .timeout = 20)
{
    Source source;
    KernelFollower follower(source.feed);
    source.runFor(300ms);
    cr_assert_eq(source.state.store.calls[Topic::Backends].size(), 1);
    follower.subscribe();
    Arrival answer(source.loop, [&](TimePoint now) { source.answerCalls(now); });
    source.clock.time += LongTurn;
    source.runFor(20ms);
    expectFresh(follower.heartbeats());
}

Test(feed, a_source_that_closes_during_a_long_turn_is_replaced_without_a_read_of_the_store,
     .timeout = 20)
{
    DataCentre dataCentre(3);
    dataCentre.daemons[1]->client.reset(); // It reads the store.
    dataCentre.runFor(1s);
    DataCentre::Daemon &follower = *dataCentre.daemons[2];
    cr_assert_eq(follower.client->source(), dataCentre.members[0].instance);
    dataCentre.daemons[0]->server.reset();
    dataCentre.clock.time += LongTurn;
    dataCentre.runFor(1s);
    cr_expect_eq(follower.client->source(), dataCentre.members[1].instance);
    cr_expect_str_eq(follower.lastReason.c_str(), "fresh");
    cr_expect_eq(follower.sourcesFollowed, 1);
}

Test(feed, a_long_turn_after_the_loss_of_a_source_leaves_time_to_switch_to_another, .timeout = 20)
{
    DataCentre dataCentre(3);
    dataCentre.daemons[1]->client.reset(); // It reads the store.
    dataCentre.runFor(1s);
    DataCentre::Daemon &follower = *dataCentre.daemons[2];
    dataCentre.daemons[0]->server.reset();
    dataCentre.runFor(10ms);
    cr_assert(follower.state->follower.followingFeed());
    dataCentre.clock.time += LongTurn;
    dataCentre.runFor(1s);
    cr_expect_eq(follower.client->source(), dataCentre.members[1].instance);
    cr_expect_eq(follower.sourcesFollowed, 1);
}

Test(feed, a_source_whose_bytes_arrived_during_a_long_turn_is_not_silent, .timeout = 20)
{
    DataCentre dataCentre(2);
    dataCentre.runFor(1s);
    DataCentre::Daemon &follower = *dataCentre.daemons[1];
    cr_assert(follower.state->follower.followingFeed());
    runLongTurn(dataCentre.clock, dataCentre.loop, LongTurn,
                [&] { dataCentre.daemons[0]->server->broadcast(Topic::Backends, {}, false); });
    dataCentre.runFor(200ms);
    cr_expect(follower.state->follower.followingFeed());
    cr_expect_eq(follower.client->connections(), 1);
}
