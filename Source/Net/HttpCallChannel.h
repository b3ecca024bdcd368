#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>

#include "Base/Endpoint.h"
#include "Net/HttpParser.h"
#include "Net/Socket.h"
#include "Net/StreamSocket.h"

namespace lycheearch {

/// A complete response.
struct CompleteHttpResponse
{
    int status = 0;
    HttpFields fields;
    std::string body;
};

/// A request to an HttpCallChannel.
struct HttpCall
{
    /// \p error is set if no complete response was received.
    using Callback =
        std::function<void(std::error_code error, CompleteHttpResponse response, TimePoint now)>;

    HttpRequestHead head;
    std::string body;
    /// Until the response begins, and then without further bytes of it. Starts at call(). Since it
    /// limits the silence of the server, it starts again when the call leaves the queue and when
    /// the connection is made, but not after a call that failed: those in the queue behind it fail
    /// soon.
    Duration timeout{};
    /// The call fails with std::errc::operation_canceled, and nothing is sent, if it is still in
    /// the queue or without a connection then.
    std::optional<TimePoint> sendBy;
    Callback callback;
};

/// An HTTP client with one persistent connection to one server. Calls run one at a time, in order.
/// A response that keeps arriving is not cut until MaxResponseTime, since a large one takes longer
/// than the timeout over a slow link. Interim responses (1xx) are skipped. If a reused connection
/// is lost before the response head arrives, a GET is retried once on a new connection, because the
/// server may have closed the idle one.
class HttpCallChannel : public StreamSocketListener, public HttpResponseSink
{
public:
    /// Longest time from the begin of a response to its end.
    static constexpr Duration MaxResponseTime = 8s;

    HttpCallChannel(EventLoop &loop, Endpoint server, Liveness liveness, HttpLimits limits);
    ~HttpCallChannel() override;

    /// Queues a call. Its timeout starts now.
    void call(HttpCall call);
    bool idle() const { return !m_currentCall && m_queue.empty(); }

private:
    struct Pending
    {
        HttpCall call;
        TimePoint deadline;
        TimePoint respondingSince; ///< Unset until bytes of the response were received.
        bool retried = false;
    };

    void onConnected(TimePoint now) override;
    void onBytes(std::string_view bytes, TimePoint now) override;
    void onEnd(TimePoint now) override;
    void onError(std::error_code error, TimePoint now) override;
    const char *duty() const override { return "call_response"; }
    void onResponseHead(HttpResponseHead head) override;
    void onResponseBody(std::string_view bytes) override;

    void startNext(TimePoint now);
    /// Prepares for the head of a response.
    void restartParser();
    /// Sends the request of the current call, once there is a connection.
    void sendCurrent();
    void transmit(TimePoint now);
    void startTimer();
    /// The response of the current call makes progress.
    void extendDeadline(TimePoint now);
    void handleConnectionLoss(std::error_code error, TimePoint now);
    void finish(std::error_code error, TimePoint now);
    void dropConnection();

    EventLoop &m_loop;
    Endpoint m_server;
    Liveness m_liveness;
    HttpLimits m_limits;
    std::unique_ptr<StreamSocket> m_socket;
    std::unique_ptr<HttpResponseParser> m_parser;
    std::string m_input;
    int m_interimCount = 0; ///< Interim responses to the current call.
    bool m_connectionUsed = false; ///< Whether a call has ended on this connection.
    bool m_keepAlive = true;
    bool m_lastCallFailed = false; ///< Of the calls that have ended.
    std::deque<Pending> m_queue;
    std::unique_ptr<Pending> m_currentCall;
    CompleteHttpResponse m_response;
    TimerId m_timer;
};

} // namespace lycheearch
