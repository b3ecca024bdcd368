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

/// What a proxied link does to the bytes that pass.
enum class LinkState {
    Open, ///< Passes them on.
    Cut, ///< Resets connections and refuses new ones.
    Silent, ///< Keeps connections open and passes nothing.
};

/// Forwards one loopback port to another and injects faults.
class FaultProxy
{
public:
    FaultProxy(std::uint16_t from, std::uint16_t to);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    void setState(LinkState state);
    /// Makes the open connections silent for good, while new ones work.
    void silenceOpenConnections();
    std::int64_t bytes() const { return m_bytes; }

private:
    struct Connection
    {
        Poco::Net::StreamSocket near;
        Poco::Net::StreamSocket far;
        std::atomic<bool> silenced = false;
        std::atomic<bool> ended = false;
        std::thread thread;
    };

    void acceptLoop();
    void forward(Connection &connection);
    bool pass(Connection &connection, Poco::Net::StreamSocket &from, Poco::Net::StreamSocket &to);
    void removeEnded();

    std::uint16_t m_to;
    Poco::Net::ServerSocket m_server;
    std::atomic<LinkState> m_state = LinkState::Open;
    std::atomic<bool> m_stopping = false;
    std::atomic<std::int64_t> m_bytes = 0;
    std::mutex m_mutex;
    std::list<std::unique_ptr<Connection>> m_connections;
    std::thread m_acceptor;
};

} // namespace lycheearch::trial
