#pragma once

#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <unordered_map>

#include "Base/Endpoint.h"
#include "Net/Acceptor.h"
#include "Net/ClientLimitObserver.h"
#include "Net/HttpCallChannel.h"
#include "Net/StreamSocket.h"

namespace lycheearch {

/// Name and limits of a port with pages.
struct PagePort
{
    const char *name = nullptr; ///< For logs and metrics.
    Endpoint listen;
    std::size_t maxConnections = 64;
};

/// A small HTTP server for pages that the handler returns synchronously, such as those for
/// readiness checks and metrics. Each connection has one response at a time: the next request is
/// read when the client has taken the last page.
class HttpResponder
{
public:
    using Handler = std::function<CompleteHttpResponse(const HttpRequestHead &head, TimePoint now)>;

    HttpResponder(EventLoop &loop, const PagePort &port, Handler handler,
                  ClientLimitObserver &limitObserver, std::error_code &error);
    ~HttpResponder();
    HttpResponder(const HttpResponder &) = delete;
    HttpResponder &operator=(const HttpResponder &) = delete;

private:
    class Connection;

    void onAccepted(int fd, TimePoint now);
    void remove(Connection &connection);
    /// Closes the connection that has been idle longest, so that clients with idle connections
    /// can't exhaust the connection limit.
    void closeLongestIdle(const char *why, TimePoint now);

    EventLoop &m_loop;
    PagePort m_port;
    Handler m_handler;
    ClientLimitObserver &m_limitObserver;
    std::unordered_map<Connection *, std::shared_ptr<Connection>> m_connections;
    Acceptor m_acceptor;
};

} // namespace lycheearch
