#pragma once

#include <memory>
#include <optional>
#include <string>
#include <system_error>

#include "Base/Endpoint.h"
#include "Net/HttpParser.h"
#include "Net/Socket.h"
#include "Net/StreamSocket.h"

namespace lycheearch {

/// Whether bytes of a request may have reached the backend server.
enum class Delivery { NotSent, MaybeSent };

/// Receives the response to one request. onResponseComplete or onConnectionLost is the last call.
class BackendResponseListener
{
public:
    enum class Verdict { Accept, Skip };

    virtual ~BackendResponseListener() = default;
    /// A new connection was established.
    virtual void onConnected(TimePoint) { }
    /// Returns Skip if the response belongs to another request. It is then discarded, and the right
    /// one may follow.
    virtual Verdict onResponseStarted(const HttpResponseHead &head, TimePoint now) = 0;
    /// An interim response (1xx), which the final response follows.
    virtual void onInterimResponse(const HttpResponseHead &head, TimePoint now) = 0;
    virtual void onResponseData(std::string_view bytes, TimePoint now) = 0;
    virtual void onResponseComplete(TimePoint now) = 0;
    virtual void onConnectionLost(Delivery delivery, std::error_code error, TimePoint now) = 0;
};

/// A persistent HTTP connection to a backend server that carries one request at a time.
class BackendHttpConnection : public StreamSocketListener, public HttpResponseSink
{
public:
    struct Limits
    {
        Duration connectTimeout{};
        HttpLimits http;
        Liveness liveness;
    };

    /// Starts to connect. Returns null and sets \p error if no socket can be opened; a later
    /// failure is reported to the listener.
    static std::unique_ptr<BackendHttpConnection>
    open(EventLoop &loop, const Endpoint &address, const Limits &limits, std::error_code &error);
    BackendHttpConnection(EventLoop &loop, int fd, const Limits &limits);
    ~BackendHttpConnection() override;

    /// Sends a request. \p listener receives the response. \p bodyless is set for a HEAD request,
    /// whose response has no body.
    void send(std::string_view head, SharedBody body, bool bodyless,
              BackendResponseListener &listener, TimePoint now);
    /// Rests or goes on reading the response. The end of the connection shows only while it is
    /// read.
    void setReading(bool reading) { m_socket.holdReading(!reading); }
    /// Closes the connection. The listener is not called again.
    void abort();

    /// Whether another request can be sent on this connection.
    bool reusable() const;
    /// Whether all that has arrived was read, so the server has neither ended the connection nor
    /// sent anything since its last response. Takes a system call.
    bool allArrivedIsRead() const { return m_socket.nothingToRead(); }
    bool isNew() const { return m_responseCount == 0; }
    TimePoint idleSince() const { return m_idleSince; }
    /// How long the server keeps an idle connection open, from its Keep-Alive field; 5 s if it
    /// declares none.
    Duration serverIdleTimeout() const { return m_serverIdleTimeout; }

private:
    void onConnected(TimePoint now) override;
    void onBytes(std::string_view bytes, TimePoint now) override;
    void onEnd(TimePoint now) override;
    void onError(std::error_code error, TimePoint now) override;
    const char *duty() const override { return "backend_response"; }
    void onResponseHead(HttpResponseHead head) override;
    void onResponseBody(std::string_view bytes) override;

    void feed(TimePoint now);
    /// Passes on the body that was parsed of what was read at once.
    void deliverBody(TimePoint now);
    void restartParser();
    void completeResponse(TimePoint now);
    void reportConnectionLoss(std::error_code error, TimePoint now);

    EventLoop &m_loop;
    Limits m_limits;
    StreamSocket m_socket;
    std::unique_ptr<HttpResponseParser> m_parser;
    std::string m_input;
    std::string m_bodyPart; ///< Parsed of what was read at once, however many chunks that is.
    BackendResponseListener *m_listener = nullptr;
    TimerId m_connectTimer;
    TimePoint m_now;
    TimePoint m_idleSince;
    Duration m_serverIdleTimeout;
    bool m_bodyless = false;
    bool m_skipping = false;
    bool m_hasSkippedResponse = false;
    bool m_keepAlive = true;
    bool m_interim = false; ///< The response being received has a 1xx status.
    int m_interimCount = 0; ///< Interim responses to the present request.
    int m_responseCount = 0;
};

} // namespace lycheearch
