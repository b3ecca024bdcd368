#pragma once

#include <functional>
#include <memory>
#include <unordered_map>

#include "Base/Endpoint.h"
#include "Net/HttpParser.h"
#include "Net/StreamSocket.h"

namespace lycheearch::soak {

/// An HTTP server whose handler may answer later, in pieces, or never.
class AsyncServer : private IoHandler
{
public:
    class Connection;
    /// Answers through \p connection. It stays valid until its onClosed callback was called.
    using Handler = std::function<void(const std::shared_ptr<Connection> &connection,
                                       const HttpRequestHead &head, const std::string &body)>;

    AsyncServer(EventLoop &loop, const Endpoint &listen, Handler handler);
    ~AsyncServer() override;

    /// Resets all connections and takes no new ones until it is opened again.
    void closeAll();
    void open();
    bool isOpen() const { return m_listener >= 0; }

private:
    void onReady(std::uint32_t events, TimePoint now) override;

    EventLoop &m_loop;
    Endpoint m_endpoint;
    Handler m_handler;
    int m_listener = -1;
    std::unordered_map<Connection *, std::shared_ptr<Connection>> m_connections;
};

/// One connection of an AsyncServer.
class AsyncServer::Connection : public StreamSocketListener,
                                public HttpRequestSink,
                                public std::enable_shared_from_this<Connection>
{
public:
    Connection(AsyncServer &server, int fd);

    /// Sends raw bytes of an answer.
    void send(std::string_view bytes) { m_socket.send(bytes); }
    /// Sends a whole answer and waits for the next request.
    void reply(int status, HttpFields fields, std::string_view body);
    /// The answer is complete; the next request may be read.
    void finish();
    void close();
    bool closed() const { return m_closed; }
    /// Called once when the peer closes or the server does.
    std::function<void()> onClosed;

private:
    void onBytes(std::string_view bytes, TimePoint now) override;
    void onEnd(TimePoint) override { close(); }
    void onError(std::error_code, TimePoint) override { close(); }
    void onRequestHead(HttpRequestHead head) override { m_head = std::move(head); }
    void onRequestBody(std::string_view bytes) override { m_body.append(bytes); }
    void parse();

    AsyncServer &m_server;
    StreamSocket m_socket;
    std::unique_ptr<HttpRequestParser> m_parser;
    std::string m_input;
    HttpRequestHead m_head;
    std::string m_body;
    bool m_busy = false;
    bool m_closed = false;
};

} // namespace lycheearch::soak
