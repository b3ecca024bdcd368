#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Forward/CallerReaders.h"
#include "Forward/ConnectionClosure.h"
#include "Forward/RequestForwarder.h"
#include "Forward/RequestReceiver.h"
#include "Forward/ResponseWriter.h"
#include "Net/StreamSocket.h"

namespace lycheearch {

/// Who sends the requests of a connection.
enum class RequestOrigin {
    Caller,
    Daemon, ///< Another daemon, which passes on requests of its callers.
};

/// Name of the port, for logs and metrics.
inline const char *portName(RequestOrigin origin)
{
    return origin == RequestOrigin::Caller ? "callers" : "relay";
}

/// One connection of a caller or of another daemon: reads requests one at a time and writes their
/// responses. A request that follows a response which the caller has not read is left for later.
/// While a request is served, no more is read than what one read brings beyond it.
class CallerConnection : public StreamSocketListener,
                         public ResponseWriter,
                         public CallerReader,
                         private RequestHolder
{
public:
    /// Called when the connection has closed. It may still be on the call stack, so it must be
    /// deleted later.
    using ClosedCallback = std::function<void(CallerConnection &)>;

    CallerConnection(ForwardContext &context, RequestOrigin origin, int fd, bool draining,
                     ClosedCallback onClosed, TimePoint now);
    ~CallerConnection() override;

    /// Graceful shutdown: the connection closes after the next response.
    void drain();
    /// Closes the connection if no request is in progress and none has arrived.
    void closeIfIdle(TimePoint now);
    /// Answers a request in progress at once and closes the connection, for example when the
    /// process must exit.
    void terminate(TimePoint now);
    bool idle() const { return m_state == State::Waiting && m_receiver.unparsedBytes() == 0; }

    /// How well the connection can be closed to make room for a new one.
    enum class Dispensability {
        Never, ///< A request is being served.
        ResponseUnread, ///< The caller has not taken all of a response.
        RequestBegun, ///< A request began to arrive just now.
        Idle,
        RequestStalled, ///< A request began to arrive and is still incomplete.
    };
    Dispensability dispensability(TimePoint now) const;
    /// Since when it has been in this state.
    TimePoint dispensableSince() const { return m_waitingSince; }
    /// Closes the connection to make room for a new one.
    void closeForRoom(TimePoint now);

private:
    enum class State {
        Waiting, ///< No byte of the next request has arrived.
        Reading, ///< Part of a request has arrived.
        Serving, ///< The request is complete or was rejected, its response is not complete.
        Lingering, ///< The last response was sent; waits for the caller to close the connection.
        Closed,
    };

    void onBytes(std::string_view bytes, TimePoint now) override;
    void onEnd(TimePoint now) override;
    void onError(std::error_code error, TimePoint now) override;
    void onSendQueueEmpty(TimePoint now) override { onSendProgress(now); }
    void onSendProgress(TimePoint now) override;
    const char *duty() const override { return "caller_request"; }
    void giveUpRequest(TimePoint now) override;

    void sendResponse(int status, std::string_view reason, HttpFields fields, std::string body,
                      TimePoint now) override;
    void beginStream(int status, std::string_view reason, HttpFields fields) override;
    void writeStream(std::string_view bytes) override;
    bool callerBlocked() const override { return m_blocked; }
    void endStream(TimePoint now) override;
    void abortResponse(TimePoint now) override;

    UnreadBytes unread() const override;
    void followReading(TimePoint now) override;
    void endUnread(const char *why, TimePoint now) override;

    /// Applies what the caller leaves unread after a write.
    void afterWrite(TimePoint now);
    /// Whether so little is unread that the next request may begin.
    bool mayStartNext() const;
    void logNotReading(const char *why, TimePoint now);
    void startRequest(TimePoint now);
    void parse(TimePoint now);
    void serve(TimePoint now);
    void rejectRequest(int status, const char *cause, TimePoint now);
    void finishResponse(TimePoint now);
    /// Drops the request, whose response is complete.
    void releaseRequest();
    /// Reads on, beginning with the requests that have been received already.
    void startNext(TimePoint now);
    void linger(const char *why, TimePoint now);
    /// Closes an idle connection, unless a request has arrived that is not read yet or the last
    /// response is not complete at the caller. A request that crosses the close stays unread.
    void closeIfNothingArrived(const char *why, TimePoint now);
    /// Notes for the log why this daemon closes the connection.
    void beginClosure(const char *why, TimePoint now);
    /// Cancels a request in progress, whose caller has gone, and closes the connection.
    void cancel(TimePoint now);
    void close(TimePoint now);
    void startTimer(Duration limit, TimePoint now);
    void onTimer(TimePoint now);
    void onIdleTimer(TimePoint now);
    /// Adds the fields that say whether and how long the connection may be used again.
    void addConnectionFields(HttpFields &fields);
    CallerLimits limits() const;
    /// Whether what arrives belongs to a request that is not read yet.
    bool receivesAhead() const;
    /// Keeps what has been received ahead, and reads no more until the next request begins.
    void keepAhead(TimePoint now);
    /// Drops what the caller sends from now on. The connection closes after the present response.
    void dropAhead();
    /// The head of a request with a body is complete.
    void beginBody();
    /// Enlarges the receive buffer once there is room for a large body.
    void followBodyRoom();

    ForwardContext &m_context;
    RequestOrigin m_origin;
    ClosedCallback m_onClosed;
    const RelayBackpressure::ReaderId m_readerId;
    StreamSocket m_socket;
    State m_state = State::Waiting;
    RequestReceiver m_receiver;
    bool m_dropsAhead = false;
    bool m_largeReceiveBuffer = false;
    std::unique_ptr<RequestForwarder> m_forwarder;
    std::string m_requestId; ///< Of the latest request.
    bool m_blocked = false; ///< Reading from the server of the request rests.
    TimerId m_timer;
    TimePoint m_idleSince; ///< End of the last response, or when the connection was accepted.
    /// The longer of the idle timeouts when the idle time began and when the last response
    /// announced it.
    Duration m_idleLimit{};
    TimePoint m_waitingSince; ///< Begin of the idle time or of the request that is arriving.
    ConnectionClosure m_closure;
    bool m_keepAlive = true;
    bool m_chunkedResponse = true;
    bool m_endsWithConnection = false; ///< A response that ends with the connection has begun.
    bool m_bodyless = false;
    bool m_draining = false;
};

} // namespace lycheearch
