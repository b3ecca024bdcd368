#pragma once

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "Base/Endpoint.h"
#include "Forward/CallerConnection.h"
#include "Forward/ForwardContext.h"
#include "Net/Acceptor.h"

namespace lycheearch {

/// Accepts the connections of callers or of other daemons, and closes them in stages when the
/// process stops. When there are as many as allowed, a new one takes the place of one that serves
/// no request: of one with a stalled request, else of the one that has been idle longest, and only
/// at last of one whose caller is still reading.
class CallerServer
{
public:
    /// Listens on \p listen, for \p maxConnections at a time. Sets \p error if that fails.
    CallerServer(ForwardContext &context, RequestOrigin origin, const Endpoint &listen,
                 std::size_t maxConnections, std::error_code &error);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

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
    void onAccepted(int fd, TimePoint now);
    void onAcceptFailed(std::error_code error, TimePoint now);
    /// Closes the connection that can best be spared. Returns false if there is none.
    bool closeOne(const char *why, TimePoint now);
    void onConnectionClosed(CallerConnection &connection);
    /// A copy, since connections that close are removed.
    std::vector<CallerConnection *> allConnections() const;

    ForwardContext &m_context;
    RequestOrigin m_origin;
    std::size_t m_maxConnections;
    bool m_draining = false;
    std::unordered_map<CallerConnection *, std::unique_ptr<CallerConnection>> m_connections;
    Acceptor m_acceptor;
};

} // namespace lycheearch
