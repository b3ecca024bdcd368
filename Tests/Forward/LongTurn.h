#pragma once

#include <array>
#include <functional>
#include <string>
#include <thread>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include "Forward/ForwardHarness.h"

// Handlers of the event loop that take long, and callers whose bytes arrive meanwhile.

namespace lycheearch {

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

inline std::string keptRequest()
{
    return "POST /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: q1\r\nApi-Key: k\r\n"
           "Time-Budget-Ms: 2000\r\nContent-Length: 1\r\n\r\nb";
}

} // namespace lycheearch
