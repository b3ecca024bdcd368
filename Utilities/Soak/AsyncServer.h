#pragma once

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "Base/Endpoint.h"
#include "Net/HttpParser.h"
#include "Net/StreamSocket.h"

namespace lycheearch::soak {

/// HTTP server on the event loop whose handler may answer later, in parts, or never, to
/// simulate slow, truncated and missing answers.
class AsyncServer : private IoHandler
{
public:
    class Connection;
    /// Handles a request. The answer goes through \p connection, during the call or later; sends on
    /// a closed connection have no effect.
    using Handler = std::function<void(const std::shared_ptr<Connection> &connection,
                                       const HttpRequestHead &head, const std::string &body)>;

    AsyncServer(EventLoop &loop, const Endpoint &listen, Handler handler);
    ~AsyncServer() override;

    /// Closes all connections and stops listening until open() is called.
    void closeAll();
    /// Listens on the endpoint. Throws std::runtime_error if it can't.
    void open();
    bool isOpen() const { return m_listener >= 0; }
    /// Refuses new connections until open() is called. Open ones are not affected.
    void refuseConnections();
    /// Neither accepts connections nor reads or sends anything until resume() is called. Attempts
    /// to connect get no answer.
    void fallSilent();
    /// Accepts, reads and sends again, also what was held back.
    void resume();
    const Endpoint &endpoint() const { return m_endpoint; }

private:
    void onReady(std::uint32_t events, TimePoint now) override;
    void fillBacklog();

    EventLoop &m_loop;
    Endpoint m_endpoint;
    Handler m_handler;
    int m_listener = -1;
    bool m_silent = false;
    std::vector<int> m_backlogFillers; ///< Sockets that keep the backlog of a silent server full.
    std::unordered_map<Connection *, std::shared_ptr<Connection>> m_connections;
};

/// One connection of an AsyncServer.
class AsyncServer::Connection : public StreamSocketListener,
                                public HttpRequestSink,
                                public std::enable_shared_from_this<Connection>
{
public:
    Connection(AsyncServer &server, int fd);

    /// Sends raw bytes as part of an answer.
    void send(std::string_view bytes);
    /// Handles what was held back while the server was silent.
    void resume();
    /// The host at which the peer reached the server.
    const std::string &localHost() const { return m_server.m_endpoint.host; }
    /// Sends a complete response and calls finish().
    void reply(int status, HttpFields fields, std::string_view body);
    /// Marks the answer as complete, so that the next request is parsed.
    void finish();
    void close();
    bool closed() const { return m_closed; }
    /// Called once when either side closes the connection.
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
    std::string m_heldOutput; ///< Of a silent server.
    HttpRequestHead m_head;
    std::string m_body;
    bool m_handlingRequest = false;
    bool m_closed = false;
};

} // namespace lycheearch::soak
