#pragma once

#include <functional>
#include <system_error>

#include "Base/Endpoint.h"
#include "Net/EventLoop.h"

namespace lycheearch {

/// A listening socket on the event loop. When the process or the system has no descriptor or memory
/// left for a connection, the socket rests for a short time; the connection stays in the backlog.
class Acceptor : private IoHandler
{
public:
    /// Takes over the connection \p fd, which is non-blocking.
    using AcceptedCallback = std::function<void(int fd, TimePoint now)>;
    /// Called when a connection can't be accepted.
    using FailedCallback = std::function<void(std::error_code error, TimePoint now)>;

    /// Listens on \p listen. \p receiveBufferBytes is that of the connections; 0: the kernel's.
    /// Sets \p error if it can't listen.
    Acceptor(EventLoop &loop, const Endpoint &listen, int receiveBufferBytes,
             AcceptedCallback onAccepted, FailedCallback onFailed, std::error_code &error);
    ~Acceptor() override;
    Acceptor(const Acceptor &) = delete;
    Acceptor &operator=(const Acceptor &) = delete;

    /// Stops listening, once the connections are accepted that have arrived: others are reset.
    void close();

private:
    void onReady(std::uint32_t events, TimePoint now) override;
    const char *duty() const override { return "accept"; }
    void acceptArrived(TimePoint now);
    void rest(TimePoint now);

    EventLoop &m_loop;
    AcceptedCallback m_onAccepted;
    FailedCallback m_onFailed;
    int m_fd = -1;
    TimerId m_restTimer;
};

} // namespace lycheearch
