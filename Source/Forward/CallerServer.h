#pragma once

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "Base/Endpoint.h"
#include "Forward/CallerConnection.h"
#include "Forward/ForwardContext.h"

namespace lycheearch {

/// Accepts the connections of callers or of other daemons, and closes them in stages when the
/// process stops.
class CallerServer : private IoHandler
{
public:
    /// Listens on \p listen. Sets \p error if that fails.
    CallerServer(ForwardContext &context, RequestOrigin origin, const Endpoint &listen,
                 std::error_code &error);
    ~CallerServer() override;

    /// Graceful shutdown: each connection, including new ones, closes after its next response.
    void drain(TimePoint now);
    /// Stops accepting connections, once those are accepted that have arrived.
    void stopListening();
    /// Closes the connections on which no request is in progress.
    void closeIdle(TimePoint now);
    /// Answers all requests at once and closes all connections.
    void terminateAll(TimePoint now);
    std::size_t connections() const { return m_connections.size(); }

private:
    void onReady(std::uint32_t events, TimePoint now) override;
    const char *duty() const override { return "accept"; }
    void onConnectionClosed(CallerConnection &connection);
    void closeListener();
    /// A copy, since connections that close are removed.
    std::vector<CallerConnection *> allConnections() const;

    ForwardContext &m_context;
    RequestOrigin m_origin;
    int m_listener = -1;
    bool m_draining = false;
    std::unordered_map<CallerConnection *, std::unique_ptr<CallerConnection>> m_connections;
};

} // namespace lycheearch
