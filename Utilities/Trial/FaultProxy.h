#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

#include <Poco/Net/ServerSocket.h>

#include "Base/Time.h"

namespace lycheearch::trial {

/// State of a proxied link.
enum class LinkState {
    Open, ///< Forwards all bytes.
    Cut, ///< Closes open connections, and new ones as soon as they are accepted.
    Stalled, ///< Keeps connections open and forwards nothing.
};

/// Forwards TCP connections from loopback port \p from to loopback port \p to and injects network
/// faults: a link that is cut, one that stalls, and single connections that stall.
class FaultProxy
{
public:
    FaultProxy(std::uint16_t from, std::uint16_t to);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    void setState(LinkState state);
    /// Permanently stops forwarding on the connections that are open now, without closing them.
    /// Connections opened later work.
    void stallOpenConnections();
    /// Bytes forwarded so far, in both directions together.
    std::int64_t forwardedBytes() const { return m_forwardedBytes; }

private:
    /// An accepted connection and the corresponding connection to the target port.
    struct Connection
    {
        Poco::Net::StreamSocket clientSocket;
        Poco::Net::StreamSocket targetSocket;
        std::atomic<bool> stalled = false;
        std::atomic<bool> ended = false; ///< The thread has finished and can be joined.
        std::thread thread;
    };

    void acceptLoop();
    void forward(Connection &connection);
    /// Forwards one chunk. Returns false if \p from was closed.
    bool forwardChunk(Connection &connection, Poco::Net::StreamSocket &from,
                      Poco::Net::StreamSocket &to);
    void removeEnded();

    std::uint16_t m_targetPort;
    Poco::Net::ServerSocket m_server;
    std::atomic<LinkState> m_state = LinkState::Open;
    std::atomic<bool> m_stopping = false;
    std::atomic<std::int64_t> m_forwardedBytes = 0;
    std::mutex m_mutex;
    std::list<std::unique_ptr<Connection>> m_connections;
    std::thread m_acceptor;
};

} // namespace lycheearch::trial
