#pragma once

#include <atomic>
#include <cstddef>
#include <map>
#include <mutex>

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/StreamSocket.h>

#include "Base/Time.h"

namespace lycheearch {

/// The connections of callers that occupy a thread. While others wait for one, those that keep a
/// thread without a complete request are closed, so that idle and stalled callers can't keep out
/// the rest. Thread-safe.
class CallerSockets
{
public:
    /// What the thread of a connection does.
    enum class Phase {
        Receiving, ///< Waits for a request, or for the rest of one.
        Serving, ///< The request has arrived whole.
        Sending, ///< The response is known whole.
    };

    /// A connection that is receiving or sending for so long may be closed.
    static constexpr Duration StalledReceiving = 500ms;
    static constexpr Duration StalledSending = 5s;

    explicit CallerSockets(const Clock &clock);

    /// A thread begins to serve the connection. \p socket must live until remove().
    void add(Poco::Net::StreamSocket &socket);
    void remove(Poco::Net::StreamSocket &socket);
    /// The thread that serves \p request enters \p phase.
    void setPhase(Poco::Net::HTTPServerRequest &request, Phase phase);

    /// Whether connections wait for a thread, so that a response should be the last on its
    /// connection.
    bool othersWait() const { return m_othersWait; }
    void setOthersWait(bool wait) { m_othersWait = wait; }

    /// Closes up to \p count connections that are stalled at \p now, those first that have been
    /// waiting longest. Returns how many.
    std::size_t closeStalled(std::size_t count, TimePoint now);

private:
    using Key = const Poco::Net::SocketImpl *;
    struct Connection
    {
        Poco::Net::StreamSocket *socket = nullptr;
        Phase phase = Phase::Receiving;
        TimePoint since;
    };

    static bool stalled(const Connection &connection, TimePoint now);
    /// The stalled connection that has been waiting longest, or end().
    std::map<Key, Connection>::iterator longestStalled(TimePoint now);

    const Clock &m_clock;
    std::atomic<bool> m_othersWait = false;
    std::mutex m_mutex; ///< Guards m_connections.
    std::map<Key, Connection> m_connections;
};

/// Keeps the phase of a request for the lifetime of this object; the next request is received
/// afterwards.
class RequestPhase
{
public:
    RequestPhase(CallerSockets &sockets, Poco::Net::HTTPServerRequest &request)
        : m_sockets(sockets)
        , m_request(request)
    {
        set(CallerSockets::Phase::Receiving);
    }
    ~RequestPhase() { set(CallerSockets::Phase::Receiving); }
    RequestPhase(const RequestPhase &) = delete;
    RequestPhase &operator=(const RequestPhase &) = delete;

    void set(CallerSockets::Phase phase) { m_sockets.setPhase(m_request, phase); }

private:
    CallerSockets &m_sockets;
    Poco::Net::HTTPServerRequest &m_request;
};

} // namespace lycheearch
