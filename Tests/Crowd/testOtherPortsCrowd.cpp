#include <criterion/criterion.h>

#include <array>

#include <sys/socket.h>
#include <unistd.h>

#include "Crowd.h"
#include "Feed/FeedMessages.h"
#include "RouterProcess.h"

using namespace lycheearch;
using namespace lycheearch::crowd;

// Clients that don't behave, on the ports for daemons, load balancers and metrics. The crowds stay
// connected while the daemon is checked.

namespace {

constexpr std::size_t Megabyte = 1024UL * 1024;
constexpr Duration HoldTime = 1s;
constexpr Duration AnswerLimit = 10s;
constexpr int Ok = 200;

std::string pageRequest()
{
    return request("GET", "/metrics", "");
}

/// The header of a feed frame: the length of its body, and that it is not compressed.
std::string frameHeader(std::uint32_t bodyBytes)
{
    constexpr unsigned bitsPerByte = 8;
    std::string header;
    for (unsigned i = 0; i < sizeof bodyBytes; ++i) {
        header.push_back(static_cast<char>(bodyBytes >> (bitsPerByte * i)));
    }
    return header + '\0';
}

std::string subscription(const std::string &instance)
{
    return encodeFeedFrame(FeedSubscribe{InstanceId(instance), true});
}

/// A report of loads that names \p servers servers.
std::string loadReport(int servers)
{
    FeedLoad load;
    for (int i = 0; i < servers; ++i) {
        load.loads[InstanceId("server-of-a-stranger-" + std::to_string(i))].requests = i + 1;
    }
    return encodeFeedFrame(load);
}

/// Whether a daemon that subscribes gets the state of the fleet.
bool followerIsServed(const RouterProcess &daemon)
{
    constexpr int tries = 8;
    for (int i = 0; i < tries; ++i) {
        const int fd = connectBlocking(daemon.feed(), AnswerLimit);
        const std::string text = subscription("follower");
        (void)!::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
        std::array<char, 5> header{};
        const ssize_t count = ::recv(fd, header.data(), header.size(), MSG_WAITALL);
        ::close(fd);
        if (count == static_cast<ssize_t>(header.size())) {
            return true;
        }
        Crowd::hold(500ms);
    }
    return false;
}

} // namespace

Test(otherPortsCrowd, requests_sent_ahead_to_the_relay_port, .timeout = 240)
{
    RouterProcess daemon({});
    Crowd crowd(daemon.relay(), 8);
    crowd.send({request("GET", "/nowhere/", ""), 24 * Megabyte});
    crowd.hold(HoldTime);
    daemon.expectHealthy();
}

Test(otherPortsCrowd, large_bodies_to_the_relay_port_that_stop_short_of_their_end, .timeout = 240)
{
    RouterLimits limits;
    limits.memoryMegabytes = 32;
    RouterProcess daemon(limits);
    Crowd crowd(daemon.relay(), 96);
    crowd.send({headOfBody("/quick/", limits.bodyBytes) + std::string(limits.bodyBytes - 1, 'b')});
    crowd.hold(HoldTime);
    daemon.expectHealthy();
}

Test(otherPortsCrowd, idle_connections_to_the_relay_port_beyond_the_descriptors, .timeout = 240)
{
    RouterLimits limits;
    limits.descriptors = 256;
    RouterProcess daemon(limits);
    Crowd crowd(daemon.relay(), 400);
    crowd.hold(HoldTime);
    daemon.expectHealthy();
}

Test(otherPortsCrowd, pages_of_the_readiness_port_requested_ahead_and_left_unread, .timeout = 240)
{
    RouterProcess daemon({});
    Crowd crowd(daemon.readiness(), 16);
    crowd.send({pageRequest(), 24 * Megabyte});
    crowd.hold(HoldTime);
    daemon.expectHealthy();
    cr_expect_eq(statusOf(daemon.readiness(), pageRequest(), AnswerLimit), Ok);
}

Test(otherPortsCrowd, pages_of_the_metrics_port_requested_ahead_and_left_unread, .timeout = 240)
{
    RouterProcess daemon({});
    Crowd crowd(daemon.metrics(), 4);
    crowd.send({pageRequest(), 2 * Megabyte});
    crowd.hold(HoldTime);
    daemon.expectHealthy();
    cr_expect_eq(statusOf(daemon.metrics(), pageRequest(), AnswerLimit), Ok);
}

Test(otherPortsCrowd, connections_to_all_other_ports_beyond_the_descriptors, .timeout = 240)
{
    RouterLimits limits;
    limits.descriptors = 256;
    RouterProcess daemon(limits);
    Crowd feed(daemon.feed(), 100);
    Crowd readiness(daemon.readiness(), 100);
    Crowd metrics(daemon.metrics(), 100);
    feed.hold(HoldTime);
    daemon.expectHealthy();
    cr_expect_eq(statusOf(daemon.readiness(), pageRequest(), AnswerLimit), Ok);
}

Test(otherPortsCrowd, feed_frames_that_stop_short_of_their_end, .timeout = 240)
{
    constexpr std::uint32_t frameBytes = 8 * Megabyte;
    RouterProcess daemon({});
    Crowd crowd(daemon.feed(), 24);
    crowd.send({frameHeader(frameBytes) + std::string(frameBytes - 1, 'f')});
    crowd.hold(HoldTime);
    daemon.expectHealthy();
    cr_expect(followerIsServed(daemon));
}

Test(otherPortsCrowd, a_feed_frame_that_grows_when_it_is_decompressed, .timeout = 240)
{
    RouterProcess daemon({});
    FeedSubscribe subscribe;
    subscribe.instance = InstanceId(std::string(60 * Megabyte, 'i'));
    const std::string frame = encodeFeedFrame(subscribe);
    Crowd crowd(daemon.feed(), 4);
    crowd.send({frame});
    crowd.hold(HoldTime);
    daemon.expectHealthy();
    cr_expect(followerIsServed(daemon));
}

Test(otherPortsCrowd, feed_reports_of_many_servers, .timeout = 240)
{
    constexpr int servers = 60'000;
    RouterProcess daemon({});
    Crowd crowd(daemon.feed(), 24);
    crowd.send({subscription("stranger") + loadReport(servers)});
    crowd.hold(HoldTime);
    daemon.expectHealthy();
    cr_expect(followerIsServed(daemon));
}

Test(otherPortsCrowd, feed_connections_of_strangers_leave_room_for_a_follower, .timeout = 240)
{
    RouterProcess daemon({});
    Crowd crowd(daemon.feed(), 400);
    crowd.hold(HoldTime);
    daemon.expectHealthy();
    cr_expect(followerIsServed(daemon));
}

Test(otherPortsCrowd, feed_followers_that_read_nothing_leave_room_for_another, .timeout = 240)
{
    RouterProcess daemon({});
    Crowd crowd(daemon.feed(), 400);
    crowd.send({subscription("stranger")});
    crowd.hold(HoldTime);
    daemon.expectHealthy();
    cr_expect(followerIsServed(daemon));
}
