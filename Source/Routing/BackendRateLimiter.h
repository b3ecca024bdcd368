#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "Fleet/FleetView.h"
#include "Routing/BrittleServerShare.h"
#include "Routing/RateLimitTurns.h"
#include "Routing/ServerNotices.h"

namespace lycheearch {

/// Rate limit for backend servers in cold start.
struct ColdLimits
{
    double perSecond = 0; ///< Requests per second and server, of all daemons together; 0: no limit.
    int daemons = 1; ///< Daemons that share the rate.
};

/// Whether this daemon may send a request to a backend server now, and what forbids it.
enum class SendPermission {
    Allowed,
    Paused, ///< The server asked for a pause.
    Cold, ///< The server is in cold start, and this daemon has used its share of the rate limit.
    RateLimited, ///< The server named a rate limit, and it is not this daemon's turn.
    Full, ///< The server is brittle, and it is not sure that it has room.
};

/// Requests in flight at a server, as far as this daemon knows.
struct ServerLoad
{
    int own = 0; ///< Of this daemon.
    double all = 0; ///< Of all daemons.
};

/// Decides how many requests this daemon may send to each run of a backend server: the strictest of
/// the pause, the rate limit and the brittleness that the server announced and of the rate limit in
/// cold start. It answers the load of many daemons before a server that accepts few requests in
/// all.
///
/// A brittle server must hardly ever reject a request: each daemon keeps to its BrittleServerShare,
/// and one rejection closes the server to all for a while.
class BackendRateLimiter
{
public:
    explicit BackendRateLimiter(const InstanceId &self);

    SendPermission permission(const BackendState &state, const ServerLoad &load,
                              TimePoint now) const;
    /// Whether the daemons take turns at the server because it is brittle. Their loads are then too
    /// short-lived to choose by, and would draw all of them to the same server.
    bool takesTurns(const BackendState &state) const;
    /// Records that a request was sent to the server, whatever it is: a first attempt, a retry, a
    /// larger model or a resumed stream.
    void onSent(const ServerRun &server, TimePoint now);

    /// When this daemon may send to a server that has named a rate limit.
    TimePoint nextTurn(const ServerRun &server, double perSecond, TimePoint now) const;

    void setColdLimits(const ServiceId &service, ColdLimits limits)
    {
        m_coldLimits[service] = limits;
    }
    /// Sets the servers among which the daemons divide the slots of brittle ones.
    void setServers(const FleetView &view);
    void setPosition(const FleetPosition &position) { m_position = position; }
    const FleetPosition &position() const { return m_position; }
    ServerNotices &notices() { return m_notices; }
    const ServerNotices &notices() const { return m_notices; }
    /// Drops the state of servers that are not in the view.
    void prune(const FleetView &view, TimePoint now);

private:
    /// What this daemon sent to one server.
    struct Sends
    {
        std::deque<TimePoint> recent; ///< Times of the most recent sends, oldest first.
        TimePoint lastTurn; ///< The turn that was used last, see RateLimitTurns.
    };

    const Sends &sendsTo(const InstanceId &id) const;
    RateLimitTurns turnsOf(const ServerRun &server, double perSecond) const;
    BrittleServerShare brittleShare(const BackendState &state) const;
    bool brittleHasRoom(const BackendState &state, const ServerLoad &load, TimePoint now) const;
    bool coldRateAllows(const BackendState &state, TimePoint now) const;
    /// Whether this daemon may send to a cold server now. Used if \p daemonRate, each daemon's
    /// share of the rate limit, is below one request per second: daemons then send in periodic
    /// windows of different phases.
    bool inColdSendWindow(const BackendState &state, double daemonRate, TimePoint now) const;

    std::uint64_t m_coldWindowSeed; ///< Seed of the phase of this daemon's send windows.
    FleetPosition m_position;
    ServerNotices m_notices;
    std::map<ServiceId, ColdLimits> m_coldLimits;
    std::map<ServiceId, int> m_serviceSlots; ///< Usable ones of all servers.
    std::map<InstanceId, int> m_slotsBefore; ///< Of the servers of the service before this one.
    std::map<InstanceId, Sends> m_sends;
};

} // namespace lycheearch
