#pragma once

#include <cstdint>
#include <string_view>
#include <system_error>

#include "Net/EventLoop.h"
#include "Net/SendQueue.h"

namespace lycheearch {

/// Receives the events of a StreamSocket. Any callback may close the socket.
class StreamSocketListener
{
public:
    virtual ~StreamSocketListener() = default;
    virtual void onConnected(TimePoint now) { }
    virtual void onBytes(std::string_view bytes, TimePoint now) = 0;
    /// The peer has closed its sending side, and all that was sent to it so far was accepted.
    virtual void onEnd(TimePoint now) = 0;
    /// The connection failed. The socket is already closed.
    virtual void onError(std::error_code error, TimePoint now) = 0;
    /// The kernel has accepted all queued bytes. Not called if it accepted them at the first try.
    virtual void onSendQueueEmpty(TimePoint now) { }
    /// The kernel has accepted some of the queued bytes, but not all.
    virtual void onSendProgress(TimePoint now) { }
    /// Name of what the connection is for, for logs and metrics.
    virtual const char *duty() const { return "connection"; }
};

/// A non-blocking TCP connection on the event loop, with an unbounded send queue: before
/// writing more, check queuedBytes().
class StreamSocket : private IoHandler
{
public:
    enum class Start { Connecting, Connected };

    static constexpr std::size_t MaxReceiveBytes = 32UL * 1024;

    /// Takes ownership of \p fd. The listener is called only from the event loop.
    StreamSocket(EventLoop &loop, int fd, Start start, StreamSocketListener &listener);
    ~StreamSocket() override;
    StreamSocket(const StreamSocket &) = delete;
    StreamSocket &operator=(const StreamSocket &) = delete;

    /// Queues \p bytes and writes as much as the kernel accepts.
    void send(std::string_view bytes);
    /// The same for a body, which isn't copied.
    void send(SharedBody body);
    /// Shuts down the sending side (FIN) once the queue is empty.
    void shutdownSending();
    /// Pauses or resumes reading. While paused, nothing is read: the end of the incoming stream is
    /// reported at once, before the bytes that precede it.
    void setReading(bool reading);
    /// Sets how much is read at a time, at most and by default MaxReceiveBytes.
    void setReceiveSize(std::size_t bytes) { m_receiveBytes = bytes; }
    /// Bounds what the kernel holds of a connection that is not read.
    void limitReceiveBuffer(std::size_t bytes);
    /// Neither reads nor watches for the end of the incoming stream, so that the peer can't send
    /// more than the kernel buffers. A failure of the connection is still reported, and unread
    /// bytes are then lost.
    void holdReading(bool hold);
    /// Closes the descriptor. The listener is not called again.
    void close();
    /// Closes the descriptor with a reset (RST) and drops queued bytes, so that the peer can't take
    /// what it has received for whole. The listener is not called again.
    void abort();

    bool isOpen() const { return m_fd >= 0; }
    bool connected() const { return m_connected; }
    std::size_t queuedBytes() const { return m_queue.size(); }
    /// Bytes in all whose receipt the peer's kernel has acknowledged.
    std::uint64_t takenBytes() const;
    /// Bytes that were sent and whose receipt the peer's kernel has not acknowledged.
    std::size_t unacknowledgedBytes() const;
    /// Whether the connection is open and neither bytes nor its end or a failure have arrived that
    /// were not read. Takes a system call.
    bool nothingToRead() const;
    /// Bytes that have been received and not read.
    std::size_t receivedBytes() const;

private:
    void onReady(std::uint32_t events, TimePoint now) override;
    const char *duty() const override { return m_listener.duty(); }
    void finishConnect(TimePoint now);
    void receive(TimePoint now);
    /// Handles the end or a failure of a connection that is not read.
    void endUnread(std::uint32_t events, TimePoint now);
    void flush();
    /// Writes \p bytes. Returns how many the kernel accepted.
    std::size_t write(std::string_view bytes);
    void updateInterest();
    void fail(std::error_code error, TimePoint now);

    EventLoop &m_loop;
    int m_fd;
    StreamSocketListener &m_listener;
    SendQueue m_queue;
    std::uint64_t m_acceptedBytes = 0; ///< By the kernel, in all.
    bool m_connected;
    bool m_reading = true;
    std::size_t m_receiveBytes = MaxReceiveBytes;
    bool m_held = false; ///< By holdReading().
    bool m_endReceived = false;
    bool m_shutdownRequested = false;
    std::error_code m_sendError;
};

} // namespace lycheearch
