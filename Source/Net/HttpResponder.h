#pragma once

#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <unordered_map>

#include "Base/Endpoint.h"
#include "Net/HttpCallChannel.h"
#include "Net/StreamSocket.h"

namespace lycheearch {

/// A small HTTP server for pages that the handler returns synchronously, such as those for
/// readiness checks and metrics.
class HttpResponder : private IoHandler
{
public:
    using Handler = std::function<CompleteHttpResponse(const HttpRequestHead &head, TimePoint now)>;

    HttpResponder(EventLoop &loop, const Endpoint &listen, Handler handler, std::error_code &error);
    ~HttpResponder() override;

private:
    class Connection;

    void onReady(std::uint32_t events, TimePoint now) override;
    void remove(Connection &connection);
    /// Closes the connection that has been idle longest, so that clients with idle connections
    /// can't exhaust the connection limit.
    void closeLongestIdle();

    EventLoop &m_loop;
    Handler m_handler;
    int m_listener = -1;
    std::unordered_map<Connection *, std::shared_ptr<Connection>> m_connections;
};

} // namespace lycheearch
