#include <array>
#include <atomic>
#include <thread>

#include <sys/socket.h>
#include <unistd.h>

#include "Forward/ForwardScripts.h"

// Connections of callers that the daemon closes, and what their callers still get.

using namespace lycheearch;

namespace {

/// A caller that is not on the event loop.
class BlockingCaller
{
public:
    explicit BlockingCaller(std::uint16_t port)
    {
        std::error_code error;
        m_fd = connectTcp({"127.0.0.1", port}, error);
        cr_assert_geq(m_fd, 0);
    }
    ~BlockingCaller() { ::close(m_fd); }
    BlockingCaller(const BlockingCaller &) = delete;
    BlockingCaller &operator=(const BlockingCaller &) = delete;

    void send(const std::string &bytes) const
    {
        cr_assert_eq(::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL),
                     static_cast<ssize_t>(bytes.size()));
    }
    /// Appends what has arrived to received.
    void receive()
    {
        std::array<char, 65536> buffer{};
        ssize_t count = 0;
        while ((count = recv(m_fd, buffer.data(), buffer.size(), MSG_DONTWAIT)) > 0) {
            received.append(buffer.data(), static_cast<std::size_t>(count));
        }
    }

    std::string received;

private:
    int m_fd = -1;
};

std::string keptRequest()
{
    return "GET /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: q1\r\nApi-Key: k\r\n"
           "Time-Budget-Ms: 2000\r\nContent-Length: 0\r\n\r\n";
}

std::size_t responses(const std::string &text)
{
    std::size_t count = 0;
    for (std::size_t at = text.find("HTTP/1.1 "); at != std::string::npos;
         at = text.find("HTTP/1.1 ", at + 1)) {
        ++count;
    }
    return count;
}

/// Sends the head and one event of a stream, and its end 150 ms later.
void streamShortly(ForwardHarness &harness, Connection &connection)
{
    connection.send(streamHead() + serializeChunk(event(1)));
    harness.loop.at(harness.loop.now() + 150ms,
                    [&connection](TimePoint) { connection.send(std::string(LastChunk)); });
}

} // namespace

Test(closedConnections, closing_the_idle_connections_misses_none_and_uses_no_freed_one,
     .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::Idempotent));
    harness.startServer();
    std::vector<std::unique_ptr<BlockingCaller>> callers;
    for (int i = 0; i < 40; ++i) {
        callers.push_back(std::make_unique<BlockingCaller>(harness.firstPort));
    }
    harness.runLoop();
    cr_assert_eq(harness.server->connections(), 40);
    harness.server->closeIdle(harness.loop.now());
    harness.runLoop();
    cr_expect_eq(harness.server->connections(), 0);
}

Test(closedConnections, a_request_read_behind_a_stream_is_answered_although_a_stop_began_meanwhile,
     .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::EventStream));
    int requests = 0;
    harness.addBackend([&](Connection &connection, const std::string &) {
        ++requests;
        streamShortly(harness, connection);
    });
    harness.startServer();
    BlockingCaller caller(harness.firstPort);
    caller.send(keptRequest());
    harness.runLoop(50ms);
    caller.receive();
    cr_assert(contains(caller.received, "Keep-Alive: timeout="));
    caller.send(keptRequest());
    harness.runLoop(30ms);
    harness.server->drain(harness.loop.now());
    harness.runLoop(1500ms);
    caller.receive();
    cr_expect_eq(requests, 2);
    cr_expect_eq(responses(caller.received), 2);
}

Test(closedConnections, a_request_after_a_stream_whose_close_was_not_announced_is_not_dropped,
     .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::EventStream));
    int requests = 0;
    harness.addBackend([&](Connection &connection, const std::string &) {
        ++requests;
        streamShortly(harness, connection);
    });
    harness.startServer();
    BlockingCaller caller(harness.firstPort);
    caller.send(keptRequest());
    harness.runLoop(50ms);
    harness.server->drain(harness.loop.now());
    harness.runLoop(150ms);
    caller.receive();
    cr_assert(contains(caller.received, "Keep-Alive: timeout="));
    cr_assert_not(contains(caller.received, "Connection: close"));
    caller.send(keptRequest());
    harness.runLoop(1500ms);
    caller.receive();
    cr_expect_eq(responses(caller.received), 2);
}

Test(closedConnections, a_response_that_is_still_queued_is_not_cut_when_idle_connections_are_closed,
     .timeout = 20)
{
    constexpr std::size_t bodyBytes = 12UL * 1024 * 1024;
    ForwardHarness harness;
    harness.responseBudget = BodyBudget(2 * bodyBytes);
    harness.publishRoute(route(RouteKind::Idempotent));
    harness.addBackend([&](Connection &connection, const std::string &) {
        connection.send(ForwardHarness::sealedResponse(200, std::string(bodyBytes, 'x')));
    });
    harness.startServer();
    BlockingCaller caller(harness.firstPort);
    caller.send(keptRequest());
    harness.runLoop(200ms);
    // The caller reads all that the daemon's kernel has, while the daemon does something else.
    for (int i = 0; i < 100; ++i) {
        caller.receive();
        std::this_thread::sleep_for(5ms);
    }
    const std::size_t atClose = caller.received.size();
    cr_assert_lt(atClose, bodyBytes);
    harness.server->closeIdle(harness.loop.now());
    for (int i = 0; i < 200; ++i) {
        harness.runLoop(5ms);
        caller.receive();
    }
    cr_expect_geq(caller.received.size(), bodyBytes, "%zu then, %zu in the end", atClose,
                  caller.received.size());
}

Test(closedConnections, a_server_is_not_late_while_the_request_to_it_was_not_sent_yet,
     .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::Idempotent));
    const Endpoint address{"127.0.0.1", static_cast<std::uint16_t>(harness.firstPort + 6)};
    std::error_code error;
    const int listener = listenTcp(address, error);
    cr_assert_geq(listener, 0);
    harness.reportBackend("fast", address);
    std::atomic<int> requests = 0;
    std::atomic<bool> done = false;
    // Answers each request within a millisecond or so, whatever the event loop does.
    std::thread server([&] {
        std::vector<int> open;
        while (!done) {
            const int fd = acceptTcp(listener, error);
            if (fd >= 0) {
                open.push_back(fd);
            }
            std::array<char, 4096> buffer{};
            for (const int each : open) {
                if (recv(each, buffer.data(), buffer.size(), MSG_DONTWAIT) > 0) {
                    ++requests;
                    const std::string text = ForwardHarness::sealedResponse(200, "hello");
                    ::send(each, text.data(), text.size(), MSG_NOSIGNAL);
                }
            }
            std::this_thread::sleep_for(2ms);
        }
        for (const int each : open) {
            ::close(each);
        }
    });
    harness.startServer();
    BlockingCaller caller(harness.firstPort);
    harness.runLoop(50ms);
    struct LongTurn : IoHandler
    {
        void onReady(std::uint32_t, TimePoint) override
        {
            loop->unwatch(fd);
            std::this_thread::sleep_for(350ms);
        }
        EventLoop *loop = nullptr;
        int fd = -1;
    } turn;
    std::array<int, 2> ends{};
    cr_assert_eq(pipe(ends.data()), 0);
    turn.loop = &harness.loop;
    turn.fd = ends[0];
    harness.loop.watch(ends[0], EPOLLIN, turn);
    caller.send(keptRequest());
    std::this_thread::sleep_for(5ms);
    cr_assert_eq(::write(ends[1], "x", 1), 1);
    harness.runLoop(800ms);
    caller.receive();
    done = true;
    server.join();
    ::close(listener);
    cr_expect_eq(statusOf(caller.received), 200);
    cr_expect_eq(requests, 1, "%d requests", requests.load());
}

Test(closedConnections, a_request_on_a_connection_not_yet_accepted_is_not_reset_when_listening_ends,
     .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::Idempotent));
    harness.addBackend(serve);
    harness.startServer();
    BlockingCaller caller(harness.firstPort);
    caller.send(keptRequest());
    harness.server->stopListening();
    harness.runLoop(300ms);
    caller.receive();
    cr_expect_eq(statusOf(caller.received), 200);
}
