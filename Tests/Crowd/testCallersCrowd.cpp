#include <criterion/criterion.h>

#include <memory>
#include <vector>

#include "Crowd.h"
#include "RouterProcess.h"

using namespace lycheearch;
using namespace lycheearch::crowd;

// Clients that don't behave, on the port for callers. The crowds stay connected while the daemon is
// checked.

namespace {

constexpr std::size_t Megabyte = 1024UL * 1024;
constexpr const char *Identified = "Api-Key: k\r\nAttempt-Id: ahead\r\n";
constexpr Duration HoldTime = 1s;

/// Limits of a daemon with little memory.
RouterLimits little()
{
    RouterLimits limits;
    limits.memoryMegabytes = 32;
    return limits;
}

/// A head of \p bytes bytes whose last line is not complete.
std::string cutHead(std::size_t bytes)
{
    const std::string begin = "GET /quick/ HTTP/1.1\r\nHost: h.example\r\nFiller: ";
    return begin + std::string(bytes - begin.size(), 'f');
}

/// A head of about \p bytes bytes with as many fields as possible, and a body that lacks a byte.
std::string headOfShortFields(std::size_t bytes)
{
    std::string fields = "Api-Key: k\r\nAttempt-Id: short\r\nContent-Length: 2\r\n";
    while (fields.size() + 128 < bytes) {
        fields += "a:\r\n";
    }
    return request("POST", "/quick/", fields) + "b";
}

/// Chunks of a kilobyte, \p bodyBytes in all, without the last chunk.
std::string chunkedBody(std::size_t bodyBytes)
{
    constexpr std::size_t chunkBytes = 1024;
    std::string text = request(
        "POST", "/quick/", "Api-Key: k\r\nAttempt-Id: chunks\r\nTransfer-Encoding: chunked\r\n");
    for (std::size_t sent = 0; sent + chunkBytes <= bodyBytes; sent += chunkBytes) {
        text += "400\r\n" + std::string(chunkBytes, 'c') + "\r\n";
    }
    return text;
}

} // namespace

Test(callersCrowd, refused_requests_sent_ahead_with_their_answers_unread, .timeout = 240)
{
    RouterProcess daemon(little());
    Crowd crowd(daemon.callers(), 8);
    crowd.send({request("GET", "/nowhere/", ""), 24 * Megabyte});
    crowd.hold(HoldTime);
    daemon.expectHealthy();
}

Test(callersCrowd, served_requests_sent_ahead_with_their_answers_unread, .timeout = 240)
{
    RouterProcess daemon({});
    Crowd crowd(daemon.callers(), 8);
    crowd.send({request("POST", "/quick/", Identified, "small"), 24 * Megabyte});
    crowd.hold(HoldTime);
    daemon.expectHealthy();
}

Test(callersCrowd, requests_sent_ahead_of_one_that_takes_long_then_the_sending_side_ends,
     .timeout = 240)
{
    RouterProcess daemon({});
    Crowd crowd(daemon.callers(), 40);
    crowd.send({request("POST", "/held/", Identified, "held")});
    crowd.hold(HoldTime);
    crowd.send({request("GET", "/nowhere/", ""), 24 * Megabyte});
    crowd.endSending();
    crowd.hold(HoldTime);
    daemon.expectHealthy();
}

Test(callersCrowd, large_bodies_sent_whole, .timeout = 240)
{
    const RouterLimits limits = little();
    RouterProcess daemon(limits);
    Crowd crowd(daemon.callers(), 96);
    crowd.send({headOfBody("/held/", limits.bodyBytes) + std::string(limits.bodyBytes, 'b')});
    crowd.hold(HoldTime);
    daemon.expectHealthy();
}

Test(callersCrowd, large_bodies_that_stop_short_of_their_end, .timeout = 240)
{
    const RouterLimits limits = little();
    RouterProcess daemon(limits);
    Crowd crowd(daemon.callers(), 96);
    crowd.send({headOfBody("/quick/", limits.bodyBytes) + std::string(limits.bodyBytes - 1, 'b')});
    crowd.hold(HoldTime);
    daemon.expectHealthy();
}

Test(callersCrowd, large_bodies_sent_piece_by_piece_that_stop_short_of_their_end, .timeout = 240)
{
    const RouterLimits limits = little();
    RouterProcess daemon(limits);
    Crowd crowd(daemon.callers(), 96);
    crowd.send({headOfBody("/quick/", limits.bodyBytes) + std::string(limits.bodyBytes - 1, 'b')},
               2048);
    crowd.hold(HoldTime);
    daemon.expectHealthy();
}

Test(callersCrowd, bodies_of_all_sizes_that_stop_short_of_their_end, .timeout = 240)
{
    const RouterLimits limits = little();
    RouterProcess daemon(limits);
    std::vector<std::unique_ptr<Crowd>> waves;
    for (const std::size_t bytes : {limits.bodyBytes, 16UL * 1024, 2UL * 1024}) {
        waves.push_back(std::make_unique<Crowd>(daemon.callers(), 120));
        waves.back()->send({headOfBody("/quick/", bytes) + std::string(bytes - 1, 'b')});
    }
    Crowd::hold(HoldTime);
    daemon.expectHealthy();
}

Test(callersCrowd, chunked_bodies_that_stop_short_of_their_end, .timeout = 240)
{
    const RouterLimits limits = little();
    RouterProcess daemon(limits);
    Crowd crowd(daemon.callers(), 96);
    crowd.send({chunkedBody(limits.bodyBytes)}, 2048);
    crowd.hold(HoldTime);
    daemon.expectHealthy();
}

Test(callersCrowd, bodies_announced_and_not_sent, .timeout = 240)
{
    const RouterLimits limits = little();
    RouterProcess daemon(limits);
    Crowd crowd(daemon.callers(), 200);
    crowd.send({headOfBody("/quick/", limits.bodyBytes) + "b"});
    crowd.hold(HoldTime);
    daemon.expectHealthy();
}

Test(callersCrowd, heads_that_stop_short_of_their_end, .timeout = 240)
{
    const RouterLimits limits = little();
    RouterProcess daemon(limits);
    Crowd crowd(daemon.callers(), 2500);
    crowd.send({cutHead(limits.headBytes - 256)});
    crowd.hold(HoldTime);
    daemon.expectHealthy();
}

Test(callersCrowd, heads_of_many_short_fields, .timeout = 240)
{
    const RouterLimits limits;
    RouterProcess daemon(limits);
    Crowd crowd(daemon.callers(), 600);
    crowd.send({headOfShortFields(limits.headBytes)});
    crowd.hold(HoldTime);
    daemon.expectHealthy();
}

Test(callersCrowd, heads_of_many_short_fields_of_requests_that_take_long, .timeout = 240)
{
    const RouterLimits limits;
    RouterProcess daemon(limits);
    std::string fields = Identified;
    while (fields.size() + 128 < limits.headBytes) {
        fields += "a:\r\n";
    }
    Crowd crowd(daemon.callers(), 600);
    crowd.send({request("POST", "/held/", fields, "held")});
    crowd.hold(HoldTime);
    daemon.expectHealthy();
}

Test(callersCrowd, prompts_of_many_parts_of_requests_that_take_long, .timeout = 240)
{
    const RouterLimits limits;
    RouterProcess daemon(limits);
    std::string parts = "a:1";
    while (parts.size() + 256 < limits.headBytes) {
        parts += ",a:1";
    }
    Crowd crowd(daemon.callers(), 600);
    crowd.send(
        {request("POST", "/held/", Identified + ("Prompt-Prefix: " + parts + "\r\n"), "held")});
    crowd.hold(HoldTime);
    daemon.expectHealthy();
}

Test(callersCrowd, trailers_of_many_short_fields, .timeout = 240)
{
    const RouterLimits limits;
    RouterProcess daemon(limits);
    std::string text =
        request("POST", "/held/", "Api-Key: k\r\nAttempt-Id: t\r\nTransfer-Encoding: chunked\r\n")
        + "1\r\nb\r\n0\r\n";
    while (text.size() + 128 < limits.headBytes) {
        text += "a:\r\n";
    }
    text += "\r\n";
    Crowd crowd(daemon.callers(), 600);
    crowd.send({text});
    crowd.hold(HoldTime);
    daemon.expectHealthy();
}

Test(callersCrowd, idle_connections_beyond_the_descriptors, .timeout = 240)
{
    RouterLimits limits;
    limits.descriptors = 256;
    RouterProcess daemon(limits);
    Crowd crowd(daemon.callers(), 400);
    crowd.hold(HoldTime);
    daemon.expectHealthy();
}

Test(callersCrowd, begun_requests_beyond_the_descriptors, .timeout = 240)
{
    RouterLimits limits;
    limits.descriptors = 256;
    RouterProcess daemon(limits);
    Crowd crowd(daemon.callers(), 400);
    crowd.send({cutHead(100)});
    crowd.hold(HoldTime);
    daemon.expectHealthy();
}

Test(callersCrowd, requests_that_take_long_beyond_the_descriptors, .timeout = 240)
{
    RouterLimits limits;
    limits.descriptors = 256;
    RouterProcess daemon(limits);
    Crowd crowd(daemon.callers(), 400);
    crowd.send({request("POST", "/held/", Identified, "held")});
    crowd.hold(HoldTime);
    // Requests within the limits that are being served stay, so the daemon is checked afterwards.
    crowd.close();
    daemon.expectHealthy();
}

Test(callersCrowd, large_answers_left_unread, .timeout = 240)
{
    RouterProcess daemon({});
    Crowd crowd(daemon.callers(), 200);
    crowd.send({request("POST", "/large/", Identified, "large"), 16UL * 1024});
    crowd.hold(HoldTime);
    daemon.expectHealthy();
}

Test(callersCrowd, the_largest_request_within_the_limits_is_served_in_calm, .timeout = 60)
{
    const RouterLimits limits;
    const RouterProcess daemon(limits);
    cr_expect_eq(daemon.sendRequest("/quick/", std::string(limits.bodyBytes, 'b')), 200);
}
