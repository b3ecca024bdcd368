#include "Net/StreamSocket.h"

#include <algorithm>
#include <array>

#include <cerrno>
#include <linux/sockios.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Net/Socket.h"

namespace lycheearch {

namespace {

bool wouldBlock(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

} // namespace

StreamSocket::StreamSocket(EventLoop &loop, int fd, Start start, StreamSocketListener &listener)
    : m_loop(loop)
    , m_fd(fd)
    , m_listener(listener)
    , m_connected(start == Start::Connected)
{
    updateInterest();
}

StreamSocket::~StreamSocket()
{
    close();
}

void StreamSocket::send(std::string_view bytes)
{
    if (m_fd < 0) {
        return;
    }
    if (m_connected && queuedBytes() == 0) {
        bytes.remove_prefix(write(bytes));
    }
    m_queue.append(bytes);
    updateInterest();
}

void StreamSocket::send(SharedBody body)
{
    if (m_fd < 0) {
        return;
    }
    const bool first = queuedBytes() == 0;
    m_queue.append(std::move(body));
    if (m_connected && first) {
        flush();
    }
    updateInterest();
}

void StreamSocket::shutdownSending()
{
    m_shutdownRequested = true;
    if (m_fd >= 0 && m_connected && queuedBytes() == 0) {
        ::shutdown(m_fd, SHUT_WR);
    }
}

void StreamSocket::setReading(bool reading)
{
    m_reading = reading;
    updateInterest();
}

void StreamSocket::holdReading(bool hold)
{
    m_held = hold;
    updateInterest();
}

void StreamSocket::limitReceiveBuffer(std::size_t bytes)
{
    if (m_fd >= 0) {
        lycheearch::limitReceiveBuffer(m_fd, static_cast<int>(bytes));
    }
}

std::uint64_t StreamSocket::takenBytes() const
{
    return m_acceptedBytes - std::min<std::uint64_t>(m_acceptedBytes, unacknowledgedBytes());
}

std::size_t StreamSocket::unacknowledgedBytes() const
{
    int bytes = 0;
    return m_fd >= 0 && ::ioctl(m_fd, SIOCOUTQ, &bytes) == 0 ? static_cast<std::size_t>(bytes) : 0;
}

std::size_t StreamSocket::receivedBytes() const
{
    int unread = 0;
    return m_fd >= 0 && ::ioctl(m_fd, SIOCINQ, &unread) == 0 ? static_cast<std::size_t>(unread) : 0;
}

bool StreamSocket::nothingToRead() const
{
    char byte = 0;
    return m_fd >= 0 && ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && wouldBlock(errno);
}

void StreamSocket::close()
{
    if (m_fd < 0) {
        return;
    }
    m_loop.unwatch(m_fd);
    ::close(m_fd);
    m_fd = -1;
    m_queue.clear();
}

void StreamSocket::abort()
{
    if (m_fd >= 0) {
        const linger withoutDelay{1, 0};
        ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &withoutDelay, sizeof(withoutDelay));
    }
    close();
}

void StreamSocket::onReady(std::uint32_t events, TimePoint now)
{
    if (!m_connected) {
        finishConnect(now);
        return;
    }
    if ((events & EPOLLOUT) != 0 && queuedBytes() > 0) {
        const std::size_t before = queuedBytes();
        flush();
        updateInterest();
        if (queuedBytes() == 0 && !m_sendError) {
            m_listener.onSendQueueEmpty(now);
        } else if (queuedBytes() < before) {
            m_listener.onSendProgress(now);
        }
    }
    if (m_fd >= 0 && (m_held || !m_reading)) {
        endUnread(events, now);
    } else if (m_fd >= 0
               && (m_sendError || (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0)) {
        receive(now);
    }
}

void StreamSocket::finishConnect(TimePoint now)
{
    if (const std::error_code error = socketError(m_fd)) {
        fail(error, now);
        return;
    }
    m_connected = true;
    flush();
    updateInterest();
    m_listener.onConnected(now);
}

void StreamSocket::receive(TimePoint now)
{
    static thread_local std::array<char, MaxReceiveBytes> buffer;
    if (m_endReceived) {
        // After the end of the incoming stream, only an error can still be reported.
        if (const std::error_code error = m_sendError ? m_sendError : socketError(m_fd)) {
            fail(error, now);
        }
        return;
    }
    const ssize_t count = recv(m_fd, buffer.data(), m_receiveBytes, 0);
    if (count > 0) {
        m_listener.onBytes({buffer.data(), static_cast<std::size_t>(count)}, now);
    } else if (m_sendError) {
        // The failed write has taken the error, so that the kernel reports an orderly end.
        fail(m_sendError, now);
    } else if (count == 0) {
        m_endReceived = true;
        updateInterest();
        m_listener.onEnd(now);
    } else if (!wouldBlock(errno)) {
        fail({errno, std::generic_category()}, now);
    }
}

void StreamSocket::endUnread(std::uint32_t events, TimePoint now)
{
    if (m_sendError) {
        fail(m_sendError, now);
    } else if ((events & (EPOLLHUP | EPOLLERR)) != 0) {
        const std::error_code error = socketError(m_fd);
        fail(error ? error : std::make_error_code(std::errc::connection_reset), now);
    } else if (!m_held && !m_endReceived && (events & EPOLLRDHUP) != 0) {
        m_endReceived = true;
        updateInterest();
        m_listener.onEnd(now);
    }
}

void StreamSocket::flush()
{
    while (queuedBytes() > 0 && !m_sendError) {
        const std::size_t tried = m_queue.front().size();
        const std::size_t count = write(m_queue.front());
        m_queue.consume(count);
        if (count < tried) {
            break;
        }
    }
    if (queuedBytes() == 0 && m_shutdownRequested) {
        ::shutdown(m_fd, SHUT_WR);
    }
}

std::size_t StreamSocket::write(std::string_view bytes)
{
    std::size_t total = 0;
    while (total < bytes.size() && !m_sendError) {
        const ssize_t count =
            ::send(m_fd, bytes.data() + total, bytes.size() - total, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count < 0) {
            if (!wouldBlock(errno)) {
                m_sendError = {errno, std::generic_category()};
            }
            break;
        }
        total += static_cast<std::size_t>(count);
    }
    m_acceptedBytes += total;
    return total;
}

void StreamSocket::updateInterest()
{
    if (m_fd < 0) {
        return;
    }
    std::uint32_t events = 0;
    if (!m_connected || queuedBytes() > 0 || m_sendError) {
        events |= EPOLLOUT;
    }
    if (m_connected && !m_endReceived && !m_held) {
        events |= m_reading ? (EPOLLIN | EPOLLRDHUP) : EPOLLRDHUP;
    }
    m_loop.watch(m_fd, events, *this);
}

void StreamSocket::fail(std::error_code error, TimePoint now)
{
    close();
    m_listener.onError(error, now);
}

} // namespace lycheearch
