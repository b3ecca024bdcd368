#pragma once

#include "Forward/ForwardHarness.h"

// Routes, scripts of backend servers and pieces of responses that the tests of the data path share.

namespace lycheearch {

using Connection = ScriptedBackend::Connection;

inline Route route(RouteKind kind, int attempts = 2)
{
    Route newRoute;
    newRoute.kind = kind;
    newRoute.timeout = 800ms;
    newRoute.latencyObjective = 100ms;
    newRoute.gapObjective = 100ms;
    newRoute.maxAttempts = attempts;
    newRoute.resumable = kind == RouteKind::EventStream;
    return newRoute;
}

inline void serve(Connection &connection, const std::string &)
{
    connection.send(ForwardHarness::sealedResponse(200, "hello"));
}

inline void fail(Connection &connection, const std::string &)
{
    connection.send(ForwardHarness::sealedResponse(500, "broken"));
}

inline void refuse(Connection &connection, const std::string &)
{
    connection.send(ForwardHarness::response(503, "Not-Executed: 1\r\n", "full"));
}

inline void reset(Connection &connection, const std::string &)
{
    connection.close();
}

inline int statusOf(const std::string &response)
{
    return ForwardHarness::statusOf(response);
}

inline bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

inline std::size_t totalRequests(const ForwardHarness &harness)
{
    std::size_t total = 0;
    for (const auto &backend : harness.backends) {
        total += backend->requests.size();
    }
    return total;
}

inline std::string streamHead()
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nResponse-Seal: seal\r\n"
           "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n";
}

} // namespace lycheearch
