#include "Net/Acceptor.h"

#include <utility>

#include <sys/epoll.h>
#include <unistd.h>

#include "Net/Socket.h"

namespace lycheearch {

namespace {

constexpr int MaxAcceptsPerEvent = 64;
/// How long no connection is accepted after a failure, which would be reported without end.
constexpr Duration RestTime = 100ms;

bool isOfTheConnection(const std::error_code &error)
{
    return error == std::errc::connection_aborted || error == std::errc::interrupted;
}

bool noneIsPending(const std::error_code &error)
{
    return error == std::errc::resource_unavailable_try_again
        || error == std::errc::operation_would_block;
}

} // namespace

Acceptor::Acceptor(EventLoop &loop, const Endpoint &listen, int receiveBufferBytes,
                   AcceptedCallback onAccepted, FailedCallback onFailed, std::error_code &error)
    : m_loop(loop)
    , m_onAccepted(std::move(onAccepted))
    , m_onFailed(std::move(onFailed))
    , m_fd(listenTcp(listen, error))
{
    if (m_fd < 0) {
        return;
    }
    if (receiveBufferBytes > 0) {
        limitReceiveBuffer(m_fd, receiveBufferBytes); // Connections inherit it.
    }
    m_loop.watch(m_fd, EPOLLIN, *this);
}

Acceptor::~Acceptor()
{
    m_loop.cancel(m_restTimer);
    if (m_fd >= 0) {
        m_loop.unwatch(m_fd);
        ::close(m_fd);
    }
}

void Acceptor::close()
{
    if (m_fd < 0) {
        return;
    }
    acceptArrived(m_loop.now());
    m_loop.cancel(m_restTimer);
    m_loop.unwatch(m_fd);
    ::close(m_fd);
    m_fd = -1;
}

void Acceptor::onReady(std::uint32_t, TimePoint now)
{
    acceptArrived(now);
}

void Acceptor::acceptArrived(TimePoint now)
{
    for (int i = 0; i < MaxAcceptsPerEvent; ++i) {
        std::error_code error;
        const int fd = acceptTcp(m_fd, error);
        if (fd >= 0) {
            m_onAccepted(fd, now);
        } else if (noneIsPending(error)) {
            return;
        } else if (!isOfTheConnection(error)) {
            m_onFailed(error, now);
            rest(now);
            return;
        }
    }
}

void Acceptor::rest(TimePoint now)
{
    m_loop.watch(m_fd, 0, *this);
    m_loop.cancel(m_restTimer);
    m_restTimer = m_loop.at(now + RestTime, [this](TimePoint) {
        m_restTimer = TimerId();
        m_loop.watch(m_fd, EPOLLIN, *this);
    });
}

} // namespace lycheearch
