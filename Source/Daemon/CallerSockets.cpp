#include "Daemon/CallerSockets.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/NetException.h>

namespace lycheearch {

CallerSockets::CallerSockets(const Clock &clock)
    : m_clock(clock)
{
}

void CallerSockets::add(Poco::Net::StreamSocket &socket)
{
    std::lock_guard lock(m_mutex);
    m_connections[socket.impl()] = {&socket, Phase::Receiving, m_clock.now()};
}

void CallerSockets::remove(Poco::Net::StreamSocket &socket)
{
    std::lock_guard lock(m_mutex);
    m_connections.erase(socket.impl());
}

void CallerSockets::setPhase(Poco::Net::HTTPServerRequest &request, Phase phase)
{
    auto *served = dynamic_cast<Poco::Net::HTTPServerRequestImpl *>(&request);
    if (served == nullptr) {
        return;
    }
    std::lock_guard lock(m_mutex);
    const auto found = m_connections.find(served->socket().impl());
    if (found != m_connections.end()) {
        found->second.phase = phase;
        found->second.since = m_clock.now();
    }
}

bool CallerSockets::stalled(const Connection &connection, TimePoint now)
{
    const Duration duration = now - connection.since;
    return connection.phase == Phase::Receiving
        ? duration >= StalledReceiving
        : connection.phase == Phase::Sending && duration >= StalledSending;
}

std::map<CallerSockets::Key, CallerSockets::Connection>::iterator
CallerSockets::longestStalled(TimePoint now)
{
    auto longest = m_connections.end();
    for (auto it = m_connections.begin(); it != m_connections.end(); ++it) {
        const Connection &connection = it->second;
        if (stalled(connection, now)
            && (longest == m_connections.end() || connection.since < longest->second.since)) {
            longest = it;
        }
    }
    return longest;
}

std::size_t CallerSockets::closeStalled(std::size_t count, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    std::size_t closed = 0;
    while (closed < count) {
        const auto longest = longestStalled(now);
        if (longest == m_connections.end()) {
            break;
        }
        try {
            // Its thread reads the end of the stream.
            longest->second.socket->shutdown();
        } catch (const Poco::Exception &) {
            // The caller has closed the connection already.
        }
        m_connections.erase(longest);
        ++closed;
    }
    return closed;
}

} // namespace lycheearch
