#include "Feed/LoadSender.h"

#include "Feed/FeedTiming.h"

namespace lycheearch {

namespace {

/// A failed receiver is not retried for this long.
constexpr Duration AvoidPeriod = 2s;
/// A receiver with more unsent bytes is disconnected.
constexpr std::size_t MostQueuedBytes = 256UL * 1024;

} // namespace

LoadSender::LoadSender(EventLoop &loop)
    : m_loop(loop)
{
}

void LoadSender::send(const FeedLoad &load, const std::vector<MemberRegistered> &members,
                      TimePoint now)
{
    for (const MemberRegistered &member : members) {
        const auto avoided = m_avoidUntil.find(member.instance);
        if (avoided != m_avoidUntil.end() && avoided->second > now) {
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
    m_socket->send(encodeFeedFrame(load));
    if (m_socket->queuedBytes() > MostQueuedBytes) {
        drop(now);
    }
}

void LoadSender::connect(const MemberRegistered &member, TimePoint now)
{
    closeSocket();
    std::error_code error;
    const int fd = connectTcp(member.feed, error);
    if (fd < 0) {
        m_avoidUntil[member.instance] = now + AvoidPeriod;
        return;
    }
    setLiveness(fd, FeedLiveness);
    m_receiver = member.instance;
    m_socket = std::make_unique<StreamSocket>(m_loop, fd, StreamSocket::Start::Connecting, *this);
}

void LoadSender::drop(TimePoint now)
{
    m_avoidUntil[m_receiver] = now + AvoidPeriod;
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
