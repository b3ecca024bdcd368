#pragma once

#include <string>
#include <string_view>
#include <system_error>

#include "Net/EventLoop.h"

namespace lycheearch {

/// Receives what happens on a StreamSocket. The socket may be closed from within any call.
class StreamSocketListener
{
public:
    virtual ~StreamSocketListener() = default;
    virtual void onConnected(TimePoint now) { }
    virtual void onBytes(std::string_view bytes, TimePoint now) = 0;
    /// The peer has sent its last byte.
    virtual void onEnd(TimePoint now) = 0;
    virtual void onError(std::error_code error, TimePoint now) = 0;
    /// All queued bytes are with the kernel.
    virtual void onDrained(TimePoint now) { }
};

/// A non-blocking TCP connection on the event loop, with a queue of bytes to send.
class StreamSocket : private IoHandler
{
public:
    enum class Start { Connecting, Connected };

    /// Takes over \p fd. The listener is called from the event loop only.
    StreamSocket(EventLoop &loop, int fd, Start start, StreamSocketListener &listener);
    ~StreamSocket() override;
    StreamSocket(const StreamSocket &) = delete;
    StreamSocket &operator=(const StreamSocket &) = delete;

    /// Queues bytes and sends what the kernel takes.
    void send(std::string_view bytes);
    /// Sends FIN once the queue is empty.
    void shutdownSending();
    /// Stops or resumes to read. The end of the connection is still noticed.
    void setReading(bool reading);
    /// Closes the descriptor. No further calls reach the listener.
    void close();

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
    bool m_ended = false;
    bool m_shutdownWanted = false;
    std::error_code m_sendError;
};

} // namespace lycheearch
