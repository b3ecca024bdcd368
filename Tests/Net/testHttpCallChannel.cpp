#include <criterion/criterion.h>

#include <memory>
#include <optional>

#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "FreePort.h"
#include "LongTurn.h"
#include "ManualLoop.h"
#include "Net/HttpCallChannel.h"

using namespace lycheearch;

namespace {

constexpr Duration Timeout = 1s;
constexpr std::size_t BodyBytes = 20;

/// Accepts one connection and sends the bytes that the test gives it.
struct Server : IoHandler
{
    explicit Server(EventLoop &eventLoop)
        : loop(eventLoop)
        , address{"127.0.0.1", freePort()}
    {
        std::error_code error;
        listener = listenTcp(address, error);
        cr_assert_not(error);
        loop.watch(listener, EPOLLIN, *this);
    }
    ~Server() override
    {
        loop.unwatch(listener);
        close(listener);
        if (connection >= 0) {
            close(connection);
        }
    }
    void onReady(std::uint32_t, TimePoint) override
    {
        std::error_code error;
        connection = acceptTcp(listener, error);
    }
    /// Closes the connection with a reset.
    void reset()
    {
        const linger withoutDelay{1, 0};
        setsockopt(connection, SOL_SOCKET, SO_LINGER, &withoutDelay, sizeof(withoutDelay));
        close(connection);
        connection = -1;
    }
    void send(const std::string &bytes) const
    {
        cr_assert_eq(write(connection, bytes.data(), bytes.size()),
                     static_cast<ssize_t>(bytes.size()));
    }

    /// Sends what the kernel accepts at once and returns how much that was.
    std::size_t sendSome(const std::string &bytes) const
    {
        const ssize_t count =
            ::send(connection, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        return count > 0 ? static_cast<std::size_t>(count) : 0;
    }

    EventLoop &loop;
    Endpoint address;
    int listener = -1;
    int connection = -1;
};

struct Fixture
{
    Fixture()
        : loop(clock)
        , server(loop)
        , channel(loop, server.address, {1s, 1s, 2, 2s}, {16UL * 1024, 8UL * 1024 * 1024})
    {
    }

    void call(const std::string &upload = "", std::optional<TimePoint> sendBy = std::nullopt)
    {
        HttpCall call;
        call.head.method = upload.empty() ? "GET" : "POST";
        call.head.target = "/";
        call.body = upload;
        call.timeout = Timeout;
        call.sendBy = sendBy;
        call.callback = [this](std::error_code error, const CompleteHttpResponse &answer,
                               TimePoint) {
            done = true;
            ++ended;
            failed = static_cast<bool>(error);
            status = answer.status;
            body = answer.body;
        };
        channel.call(std::move(call));
    }

    static std::string head()
    {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n";
    }

    void answer() const { server.send(head() + std::string(BodyBytes, 'x')); }

    /// Makes a call and receives the head of its response.
    void callAndSendHead()
    {
        call();
        runFor(100ms);
        server.send(head());
    }

    void runFor(Duration span) { runLoopFor(clock, loop, span); }

    ManualClock clock;
    EventLoop loop;
    Server server;
    HttpCallChannel channel;
    bool done = false;
    int ended = 0; ///< Calls.
    bool failed = false;
    int status = 0;
    std::string body;
};

} // namespace

Test(httpCallChannel, a_large_response_over_a_slow_link_is_not_cut)
{
    Fixture test;
    test.callAndSendHead();
    for (std::size_t i = 0; i < BodyBytes; ++i) {
        test.runFor(200ms);
        test.server.send("x");
    }
    test.runFor(100ms);
    cr_assert(test.done);
    cr_expect_not(test.failed);
    cr_expect_eq(test.body.size(), BodyBytes);
}

Test(httpCallChannel, a_response_that_stalls_is_cut_after_the_timeout)
{
    Fixture test;
    test.callAndSendHead();
    test.runFor(500ms);
    test.server.send("x");
    test.runFor(Timeout - Duration(200ms));
    cr_expect_not(test.done);
    test.runFor(400ms);
    cr_expect(test.done && test.failed);
}

Test(httpCallChannel, a_response_of_single_bytes_ends_at_the_bound)
{
    Fixture test;
    test.callAndSendHead();
    for (std::size_t i = 0; i + 1 < BodyBytes && !test.done; ++i) {
        test.runFor(900ms);
        if (!test.done) {
            test.server.send("x");
        }
    }
    cr_expect(test.done && test.failed);
}

Test(httpCallChannel, a_long_turn_before_the_request_is_sent_does_not_time_the_call_out)
{
    Fixture test;
    test.call();
    test.clock.time += 2 * Timeout;
    test.runFor(100ms);
    cr_expect_not(test.done);
    test.answer();
    test.runFor(100ms);
    cr_expect(test.done && !test.failed);
}

Test(httpCallChannel, a_call_queued_behind_an_answer_that_a_long_turn_delayed_is_not_timed_out)
{
    Fixture test;
    test.call();
    test.call();
    test.runFor(100ms);
    test.answer();
    test.clock.time += 2 * Timeout;
    test.runFor(100ms);
    cr_expect_eq(test.ended, 1);
    test.answer();
    test.runFor(100ms);
    cr_expect_eq(test.ended, 2);
    cr_expect_not(test.failed);
}

Test(httpCallChannel, a_call_whose_answer_lies_in_the_socket_after_a_long_turn_is_not_timed_out)
{
    Fixture test;
    test.call();
    test.runFor(100ms);
    runLongTurn(test.clock, test.loop, 2 * Timeout, [&] { test.answer(); });
    test.runFor(100ms);
    cr_expect(test.done && !test.failed);
}

Test(httpCallChannel, calls_to_a_silent_server_fail_together)
{
    Fixture test;
    test.call();
    test.runFor(100ms);
    test.call();
    test.runFor(Timeout + Duration(200ms));
    cr_expect_eq(test.ended, 2);
    cr_expect(test.failed);
}

Test(httpCallChannel, a_part_of_an_answer_that_is_reset_during_the_upload_is_a_failure)
{
    Fixture test;
    test.call(std::string(16UL * 1024 * 1024, 'u'));
    test.runFor(100ms);
    test.server.send("HTTP/1.1 200 OK\r\n\r\nfirst part");
    test.runFor(100ms);
    test.server.reset();
    test.runFor(100ms);
    cr_assert(test.done);
    cr_expect(test.failed);
}

Test(httpCallChannel, a_malformed_answer_is_a_failure)
{
    for (const char *start : {"HTTP/1.1 000 X\r\n", "HTTP/1.1 200 OK\r\nX Name: 1\r\n",
                              "HTTP/1.1 200 OK\r\nX\1Name: 1\r\n",
                              "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n"}) {
        Fixture test;
        test.call();
        test.runFor(100ms);
        test.server.send(start + std::string("Content-Length: 5\r\n\r\nhello"));
        test.runFor(100ms);
        cr_assert(test.done, "%s", start);
        cr_expect(test.failed, "%s", start);
    }
}

Test(httpCallChannel, an_interim_response_is_not_the_answer)
{
    Fixture test;
    test.call();
    test.runFor(100ms);
    test.server.send("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
    test.runFor(100ms);
    cr_expect_not(test.done);
    test.answer();
    test.runFor(100ms);
    cr_assert(test.done);
    cr_expect_not(test.failed);
    cr_expect_eq(test.status, 200);
    cr_expect_eq(test.body.size(), BodyBytes);
}

Test(httpCallChannel, bytes_without_end_are_a_failure_wherever_they_come)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    struct Stream
    {
        std::string start;
        std::string piece;
    };
    const std::vector<Stream> streams = {
        {"", "x"},
        {head, "Name: value\r\n"},
        {head + "Name: ", "value"},
        {head + "\r\n", "body"},
        {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
        {"", "HTTP/1.1 103 X\r\n\r\n"}};
    constexpr std::size_t burstBytes = 64UL * 1024;
    constexpr std::size_t acceptedBytes = 64UL * 1024 * 1024;
    for (const Stream &stream : streams) {
        Fixture test;
        test.call();
        test.runFor(100ms);
        test.server.send(stream.start);
        std::string burst;
        while (burst.size() < burstBytes) {
            burst += stream.piece;
        }
        std::size_t sent = 0;
        while (!test.done && sent < acceptedBytes) {
            sent += test.server.sendSome(burst);
            test.runFor(1ms);
        }
        cr_expect(test.done, "accepted %zu bytes of '%s'", sent, stream.piece.c_str());
        cr_expect(test.failed);
    }
}

namespace {

/// Bytes that the server has received and not read.
int unreadBytes(const Server &server)
{
    int bytes = 0;
    cr_assert_eq(ioctl(server.connection, FIONREAD, &bytes), 0);
    return bytes;
}

} // namespace

// Guards against a decision that is sent after a pause, because it waited for the call before it.
Test(httpCallChannel, a_call_that_leaves_the_queue_too_late_is_not_sent)
{
    Fixture test;
    test.call();
    test.call("decision", test.clock.time + 300ms);
    test.runFor(100ms);
    const int first = unreadBytes(test.server);
    test.clock.time += 500ms;
    test.answer();
    test.runFor(100ms);
    cr_expect_eq(test.ended, 2);
    cr_expect(test.failed);
    cr_expect_eq(unreadBytes(test.server), first);
    test.call();
    test.runFor(100ms);
    cr_expect_gt(unreadBytes(test.server), first);
    test.answer();
    test.runFor(100ms);
    cr_expect(test.ended == 3 && !test.failed);
}

Test(httpCallChannel, a_call_that_is_connected_too_late_is_not_sent)
{
    Fixture test;
    test.call("decision", test.clock.time + 300ms);
    test.clock.time += 500ms;
    test.runFor(100ms);
    cr_expect(test.ended == 1 && test.failed);
    cr_expect_eq(unreadBytes(test.server), 0);
}
