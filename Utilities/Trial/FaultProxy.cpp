#include "FaultProxy.h"

#include <array>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/Socket.h>

namespace lycheearch::trial {

namespace {
constexpr int PollMilliseconds = 20;
constexpr long PollMicroseconds = 20'000;
constexpr std::size_t ChunkBytes = 16'384;
constexpr int ListenBacklog = 256;
} // namespace

FaultProxy::FaultProxy(std::uint16_t from, std::uint16_t to)
    : m_targetPort(to)
    , m_server(Poco::Net::SocketAddress("127.0.0.1", from), ListenBacklog)
    , m_acceptor([this] { acceptLoop(); })
{
}

FaultProxy::~FaultProxy()
{
    m_stopping = true;
    m_acceptor.join();
    for (const auto &connection : m_connections) {
        connection->thread.join();
    }
}

void FaultProxy::setState(LinkState state)
{
    m_state = state;
}

void FaultProxy::stallOpenConnections()
{
    std::lock_guard lock(m_mutex);
    for (const auto &connection : m_connections) {
        connection->stalled = true;
    }
}

void FaultProxy::acceptLoop()
{
    while (!m_stopping) {
        removeEnded();
        if (!m_server.poll(Poco::Timespan(0, PollMicroseconds), Poco::Net::Socket::SELECT_READ)) {
            continue;
        }
        try {
            auto connection = std::make_unique<Connection>();
            connection->clientSocket = m_server.acceptConnection();
            if (m_state == LinkState::Cut) {
                connection->clientSocket.close();
                continue;
            }
            connection->targetSocket.connect(Poco::Net::SocketAddress("127.0.0.1", m_targetPort));
            connection->clientSocket.setNoDelay(true);
            connection->targetSocket.setNoDelay(true);
            Connection &started = *connection;
            connection->thread = std::thread([this, &started] { forward(started); });
            std::lock_guard lock(m_mutex);
            m_connections.push_back(std::move(connection));
        } catch (const Poco::Exception &) {
            continue; // The target is down; the client's connection is closed.
        }
    }
}

void FaultProxy::removeEnded()
{
    std::lock_guard lock(m_mutex);
    for (auto it = m_connections.begin(); it != m_connections.end();) {
        if ((*it)->ended) {
            (*it)->thread.join();
            it = m_connections.erase(it);
        } else {
            ++it;
        }
    }
}

void FaultProxy::forward(Connection &connection)
{
    try {
        while (!m_stopping && m_state != LinkState::Cut) {
            if (connection.stalled || m_state == LinkState::Stalled) {
                std::this_thread::sleep_for(std::chrono::milliseconds(PollMilliseconds));
                continue;
            }
            Poco::Net::Socket::SocketList readable{connection.clientSocket,
                                                   connection.targetSocket};
            Poco::Net::Socket::SocketList none;
            Poco::Net::Socket::select(readable, none, none, Poco::Timespan(0, PollMicroseconds));
            bool open = true;
            for (const Poco::Net::Socket &socket : readable) {
                const bool fromClient = socket == connection.clientSocket;
                open = open
                    && (fromClient ? forwardChunk(connection, connection.clientSocket,
                                                  connection.targetSocket)
                                   : forwardChunk(connection, connection.targetSocket,
                                                  connection.clientSocket));
            }
            if (!open) {
                break;
            }
        }
    } catch (const Poco::Exception &) {
        // One side failed; both are closed below.
    }
    connection.clientSocket.close();
    connection.targetSocket.close();
    connection.ended = true;
}

bool FaultProxy::forwardChunk(Connection &connection, Poco::Net::StreamSocket &from,
                              Poco::Net::StreamSocket &to)
{
    std::array<char, ChunkBytes> chunk{};
    const int count = from.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
    if (count <= 0) {
        return false;
    }
    if (connection.stalled) {
        return true;
    }
    int sent = 0;
    while (sent < count) {
        sent += to.sendBytes(chunk.data() + sent, count - sent);
    }
    m_forwardedBytes += count;
    return true;
}

} // namespace lycheearch::trial
