#pragma once

#include <functional>
#include <memory>
#include <unordered_map>

#include "Base/Endpoint.h"
#include "Forward/CallerConnection.h"
#include "Forward/ForwardContext.h"

namespace lycheearch {

/// Accepts the connections of callers and ends them when the process stops.
class CallerServer : private IoHandler
{
public:
    CallerServer(ForwardContext &context, const Endpoint &listen, std::error_code &error);
    ~CallerServer() override;

    /// Answers from now on are the last of their connection.
    void drain(TimePoint now);
    /// Takes no further connections.
    void stopListening();
    /// Closes the connections on which no request is in progress.
    void closeIdle(TimePoint now);
    /// Ends all connections.
    void terminateAll(TimePoint now);
    std::size_t connections() const { return m_connections.size(); }

private:
    void onReady(std::uint32_t events, TimePoint now) override;
    void onEnded(CallerConnection &connection);

    ForwardContext &m_context;
    int m_listener = -1;
    bool m_draining = false;
    std::unordered_map<CallerConnection *, std::unique_ptr<CallerConnection>> m_connections;
};

} // namespace lycheearch
