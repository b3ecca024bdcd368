#include "Feed/LoadSender.h"

#include "Feed/FeedTiming.h"

namespace lycheearch {

namespace {

/// A failed receiver is not retried for this long.
constexpr Duration RetryBackoff = 2s;
/// A receiver with more unsent bytes is disconnected.
constexpr std::size_t MaxQueuedBytes = 256UL * 1024;

} // namespace

LoadSender::LoadSender(EventLoop &loop)
    : m_loop(loop)
{
}

void LoadSender::send(std::string_view frame, const std::vector<MemberRegistered> &members,
                      TimePoint now)
{
    for (const MemberRegistered &member : members) {
        const auto backoff = m_backoffUntil.find(member.instance);
        if (backoff != m_backoffUntil.end() && backoff->second > now) {
            continue;
        }
        if (m_receiver != member.instance) {
            connect(member, now);
        }
        break;
    }
    if (!m_socket) {
        return;
    }
    m_socket->send(frame);
    if (m_socket->queuedBytes() > MaxQueuedBytes) {
        drop(now);
    }
}

void LoadSender::connect(const MemberRegistered &member, TimePoint now)
{
    closeSocket();
    std::error_code error;
    const int fd = connectTcp(member.feed, error);
    if (fd < 0) {
        m_backoffUntil[member.instance] = now + RetryBackoff;
        return;
    }
    setTcpOptions(fd, FeedLiveness);
    m_receiver = member.instance;
    m_socket = std::make_unique<StreamSocket>(m_loop, fd, StreamSocket::Start::Connecting, *this);
}

void LoadSender::drop(TimePoint now)
{
    m_backoffUntil[m_receiver] = now + RetryBackoff;
    closeSocket();
}

void LoadSender::closeSocket()
{
    m_receiver = InstanceId();
    if (m_socket) {
        m_socket->close();
        m_loop.defer([dead = std::shared_ptr<StreamSocket>(std::move(m_socket))] {});
    }
}

} // namespace lycheearch
