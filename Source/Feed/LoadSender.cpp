#include "Feed/LoadSender.h"

#include "Feed/FeedTiming.h"

namespace lycheearch {

namespace {

constexpr Duration ReconnectDelay = 1s;
/// A receiver that leaves this much unread is given up.
constexpr std::size_t MostQueuedBytes = 256UL * 1024;

} // namespace

LoadSender::LoadSender(EventLoop &loop, DataCentreId home, DataCentreId target)
    : m_loop(loop)
    , m_home(std::move(home))
    , m_target(std::move(target))
{
}

void LoadSender::send(const BackendLoads &loads, const std::vector<MemberRegistered> &members,
                      TimePoint now)
{
    if (!m_socket && now >= m_retryAt) {
        connect(members, now);
    }
    if (!m_socket) {
        return;
    }
    m_socket->send(encodeFeedFrame(FeedLoad{m_home, loads}));
    if (m_socket->queuedBytes() > MostQueuedBytes) {
        drop(now);
    }
}

void LoadSender::connect(const std::vector<MemberRegistered> &members, TimePoint now)
{
    m_retryAt = now + ReconnectDelay;
    if (members.empty()) {
        return;
    }
    std::error_code error;
    const int fd = connectTcp(members[m_nextMember % members.size()].feed, error);
    if (fd < 0) {
        ++m_nextMember;
        return;
    }
    setLiveness(fd, FeedLiveness);
    m_socket = std::make_unique<StreamSocket>(m_loop, fd, StreamSocket::Start::Connecting, *this);
}

void LoadSender::drop(TimePoint now)
{
    if (!m_socket) {
        return;
    }
    m_socket->close();
    m_loop.defer([dead = std::shared_ptr<StreamSocket>(std::move(m_socket))] { });
    ++m_nextMember;
    m_retryAt = now + ReconnectDelay;
}

} // namespace lycheearch
