#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include "Base/Endpoint.h"
#include "Net/HttpParser.h"
#include "Net/Socket.h"
#include "Net/StreamSocket.h"

namespace lycheearch {

/// A whole response.
struct HttpReply
{
    int status = 0;
    HttpFields fields;
    std::string body;
};

/// One call of an HttpCallChannel.
struct HttpCall
{
    /// \p error tells why there is no whole reply.
    using Callback = std::function<void(std::error_code error, HttpReply reply, TimePoint now)>;

    HttpRequestHead head;
    std::string body;
    Duration timeout{};
    Callback callback;
};

/// A kept connection to one server, for calls that are made one after the other. A call on a
/// connection that proves dead before any byte of its reply is repeated once on a new connection
/// if its method is GET.
class HttpCallChannel : public StreamSocketListener, public HttpResponseSink
{
public:
    HttpCallChannel(EventLoop &loop, Endpoint server, Liveness liveness, HttpLimits limits);
    ~HttpCallChannel() override;

    /// Queues a call. Its timeout runs from now on.
    void call(HttpCall call);
    bool idle() const { return !m_current && m_waiting.empty(); }

private:
    struct Pending
    {
        HttpCall call;
        TimePoint deadline;
        bool repeated = false;
    };

    void onConnected(TimePoint) override { }
    void onBytes(std::string_view bytes, TimePoint now) override;
    void onEnd(TimePoint now) override;
    void onError(std::error_code error, TimePoint now) override;
    void onResponseHead(HttpResponseHead head) override;
    void onResponseBody(std::string_view bytes) override;

    void startNext(TimePoint now);
    void sendCurrent(TimePoint now);
    void lose(std::error_code error, TimePoint now);
    void finish(std::error_code error, TimePoint now);
    void dropConnection();

    EventLoop &m_loop;
    Endpoint m_server;
    Liveness m_liveness;
    HttpLimits m_limits;
    std::unique_ptr<StreamSocket> m_socket;
    std::unique_ptr<HttpResponseParser> m_parser;
    std::string m_input;
    bool m_used = false; ///< The connection has carried a reply before.
    bool m_keepAlive = true;
    std::deque<Pending> m_waiting;
    std::unique_ptr<Pending> m_current;
    HttpReply m_reply;
    TimerId m_timer;
};

} // namespace lycheearch
