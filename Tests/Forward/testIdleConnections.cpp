#include <thread>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include "Forward/ForwardScripts.h"

// Connections of callers that rest between two requests, and how the daemon closes them.

using namespace lycheearch;

namespace {

constexpr Duration IdleTimeout = 300ms;

/// A caller that is not on the event loop: its bytes reach the daemon while a handler runs.
class KernelCaller
{
public:
    explicit KernelCaller(std::uint16_t port)
    {
        std::error_code error;
        m_fd = connectTcp({"127.0.0.1", port}, error);
        cr_assert_geq(m_fd, 0);
    }
    ~KernelCaller() { ::close(m_fd); }

    void send(const std::string &bytes) const
    {
        cr_assert_eq(::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL),
                     static_cast<ssize_t>(bytes.size()));
    }
    std::string receive() const
    {
        std::array<char, 4096> buffer{};
        const ssize_t count = recv(m_fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
        return count > 0 ? std::string(buffer.data(), static_cast<std::size_t>(count)) : "";
    }
    /// Whether the connection was reset, or closed on both sides.
    bool gone() const
    {
        tcp_info info{};
        socklen_t size = sizeof(info);
        cr_assert_eq(getsockopt(m_fd, IPPROTO_TCP, TCP_INFO, &info, &size), 0);
        return info.tcpi_state == TCP_CLOSE;
    }

private:
    int m_fd = -1;
};

/// Takes the event loop for \p duration, and calls \p meanwhile at the beginning.
class LongTurn : private IoHandler
{
public:
    LongTurn(EventLoop &loop, Duration duration, std::function<void()> meanwhile)
        : m_loop(loop)
        , m_duration(duration)
        , m_meanwhile(std::move(meanwhile))
    {
        cr_assert_eq(pipe(m_ends.data()), 0);
        m_loop.watch(m_ends[0], EPOLLIN, *this);
    }
    ~LongTurn() override
    {
        m_loop.unwatch(m_ends[0]);
        ::close(m_ends[0]);
        ::close(m_ends[1]);
    }
    void begin() const { cr_assert_eq(write(m_ends[1], "x", 1), 1); }

private:
    void onReady(std::uint32_t, TimePoint) override
    {
        m_loop.unwatch(m_ends[0]);
        m_meanwhile();
        std::this_thread::sleep_for(m_duration);
    }

    EventLoop &m_loop;
    Duration m_duration;
    std::function<void()> m_meanwhile;
    std::array<int, 2> m_ends{};
};

/// A daemon that closes connections after IdleTimeout at rest, and a server that answers.
struct IdleHarness : ForwardHarness
{
    explicit IdleHarness(RouteKind kind = RouteKind::NonIdempotent)
    {
        setIdleTimeout(IdleTimeout, kind);
        addBackend(serve);
        startServer();
    }
    void setIdleTimeout(Duration timeout, RouteKind kind = RouteKind::NonIdempotent)
    {
        limits.idleTimeout = timeout;
        publishRoute(route(kind));
    }
};

std::string keptRequest()
{
    return "POST /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: q1\r\nApi-Key: k\r\n"
           "Time-Budget-Ms: 2000\r\nContent-Length: 1\r\n\r\nb";
}

} // namespace

Test(idleConnections, a_request_that_arrived_during_a_long_turn_is_answered, .timeout = 20)
{
    IdleHarness harness;
    const KernelCaller caller(harness.firstPort);
    LongTurn turn(harness.loop, IdleTimeout, [&] { caller.send(keptRequest()); });
    harness.runLoop(IdleTimeout / 2);
    turn.begin();
    harness.runLoop(IdleTimeout * 2);
    cr_expect_eq(statusOf(caller.receive()), 200);
}

Test(idleConnections, a_request_that_crosses_the_close_is_left_unread, .timeout = 20)
{
    IdleHarness harness;
    const KernelCaller caller(harness.firstPort);
    caller.send(keptRequest());
    harness.runLoop();
    cr_expect_eq(statusOf(caller.receive()), 200);
    harness.runLoop(IdleTimeout);
    caller.send(keptRequest());
    harness.runLoop();
    cr_expect(caller.gone());
    cr_expect_eq(harness.received(), 1);
}

Test(idleConnections, a_request_that_arrived_before_the_idle_connections_are_closed_is_answered,
     .timeout = 20)
{
    IdleHarness harness;
    const KernelCaller caller(harness.firstPort);
    LongTurn turn(harness.loop, 50ms, [&] {
        caller.send(keptRequest());
        harness.server->closeIdle(harness.loop.now());
    });
    harness.runLoop(IdleTimeout / 2);
    turn.begin();
    harness.runLoop();
    cr_expect_eq(statusOf(caller.receive()), 200);
}

Test(idleConnections, a_connection_at_rest_gets_the_longer_limit_of_a_new_configuration,
     .timeout = 20)
{
    IdleHarness harness;
    const KernelCaller caller(harness.firstPort);
    harness.runLoop(IdleTimeout / 2);
    harness.setIdleTimeout(IdleTimeout * 4);
    harness.runLoop(IdleTimeout);
    caller.send(keptRequest());
    harness.runLoop();
    cr_expect_eq(statusOf(caller.receive()), 200);
}

Test(idleConnections, a_connection_at_rest_keeps_its_limit_when_a_configuration_shortens_it,
     .timeout = 20)
{
    IdleHarness harness;
    const KernelCaller caller(harness.firstPort);
    harness.runLoop(IdleTimeout / 4);
    harness.setIdleTimeout(IdleTimeout / 4);
    harness.runLoop(IdleTimeout / 2);
    caller.send(keptRequest());
    harness.runLoop();
    cr_expect_eq(statusOf(caller.receive()), 200);
}

Test(idleConnections, an_idle_connection_is_closed_at_its_limit, .timeout = 20)
{
    IdleHarness harness;
    const KernelCaller caller(harness.firstPort);
    harness.runLoop(IdleTimeout / 2);
    cr_expect_eq(harness.server->connections(), 1);
    harness.runLoop(IdleTimeout);
    cr_expect_eq(harness.server->connections(), 0);
}

Test(idleConnections, responses_announce_a_rest_that_ends_before_the_idle_timeout, .timeout = 20)
{
    for (const RouteKind kind : {RouteKind::NonIdempotent, RouteKind::EventStream}) {
        IdleHarness harness(kind);
        harness.setIdleTimeout(15s, kind);
        const KernelCaller caller(harness.firstPort);
        caller.send(keptRequest());
        harness.runLoop();
        cr_expect(contains(caller.receive(), "Keep-Alive: timeout=12\r\n"));
        cr_expect_not(
            contains(harness.call(ForwardHarness::request("POST", "", "b")), "Keep-Alive"));
    }
}
