#pragma once

#include <string>
#include <string_view>
#include <system_error>

#include "Net/EventLoop.h"

namespace lycheearch {

/// Receives the events of a StreamSocket. Any callback may close the socket.
class StreamSocketListener
{
public:
    virtual ~StreamSocketListener() = default;
    virtual void onConnected(TimePoint now) { }
    virtual void onBytes(std::string_view bytes, TimePoint now) = 0;
    /// The peer has closed its sending side.
    virtual void onEnd(TimePoint now) = 0;
    /// The connection failed. The socket is already closed.
    virtual void onError(std::error_code error, TimePoint now) = 0;
    /// The kernel has accepted all queued bytes. Not called if it accepted them at the first try.
    virtual void onSendQueueEmpty(TimePoint now) { }
};

/// A non-blocking TCP connection on the event loop, with an unbounded send queue.
class StreamSocket : private IoHandler
{
public:
    enum class Start { Connecting, Connected };

    /// Takes ownership of \p fd. The listener is called only from the event loop.
    StreamSocket(EventLoop &loop, int fd, Start start, StreamSocketListener &listener);
    ~StreamSocket() override;
    StreamSocket(const StreamSocket &) = delete;
    StreamSocket &operator=(const StreamSocket &) = delete;

    /// Queues \p bytes and writes as much as the kernel accepts.
    void send(std::string_view bytes);
    /// Shuts down the sending side (FIN) once the queue is empty.
    void shutdownSending();
    /// Pauses or resumes reading. While paused, the end of the connection is still detected.
    void setReading(bool reading);
    /// Closes the descriptor. The listener is not called again.
    void close();
    /// Closes the descriptor with a reset (RST) and drops queued bytes, so that the peer can't take
    /// what it has received for whole. The listener is not called again.
    void abort();

    bool isOpen() const { return m_fd >= 0; }
    bool connected() const { return m_connected; }
    std::size_t queuedBytes() const { return m_queue.size() - m_sent; }

private:
    void onReady(std::uint32_t events, TimePoint now) override;
    void finishConnect(TimePoint now);
    void receive(TimePoint now);
    void flush();
    void updateInterest();
    void fail(std::error_code error, TimePoint now);

    EventLoop &m_loop;
    int m_fd;
    StreamSocketListener &m_listener;
    std::string m_queue;
    std::size_t m_sent = 0;
    bool m_connected;
    bool m_reading = true;
    bool m_endReceived = false;
    bool m_shutdownRequested = false;
    std::error_code m_sendError;
};

} // namespace lycheearch
