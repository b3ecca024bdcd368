#pragma once

#include <optional>

#include "Base/Time.h"
#include "Routing/RateLimitTurns.h"

namespace lycheearch {

/// What one daemon may have at a brittle server, so that the server hardly ever rejects a request
/// of any daemon. The daemons learn of each other's requests too late to keep to the sum of them.
///
/// If the service has at least one slot for each daemon, each slot of a server belongs to one
/// daemon: all daemons together can't have more requests there than it has slots. If each daemon
/// has few, it may send a little beyond them in turn while at most half of them are taken, so that
/// uneven traffic is served.
///
/// With fewer slots, some daemons would have none. There they take turns only, at a rate that
/// follows from the slots and from the time since the last rejection.
class BrittleServerShare
{
public:
    /// Slots of a server that are used, of \p slots.
    static int usableSlots(int slots);

    /// \p slotsBefore are the usable slots of the servers of the service before this one, in an
    /// order that all daemons compute alike, \p serviceSlots those of all of them.
    BrittleServerShare(int slotsBefore, int slots, int serviceSlots, const FleetPosition &position);

    /// Whether each slot belongs to one daemon.
    bool dividesSlots() const { return m_serviceSlots >= m_position.daemons; }
    /// Slots of the server that belong to this daemon, if dividesSlots().
    int ownSlots() const;
    /// A rate of turns that holds from some time after a rejection on.
    struct TurnRate
    {
        double perSecond = 0; ///< Requests of all daemons together.
        Duration since{}; ///< Turns from before that time after the rejection are not used.
    };

    /// How long the server gets no requests after it has rejected one.
    static constexpr Duration RejectionPause = 1200ms;

    /// The rate of turns; std::nullopt if there are none now. \p sinceRejection is the time since
    /// the server last rejected a request, at least RejectionPause.
    std::optional<TurnRate> turnRate(Duration sinceRejection) const;

private:
    int m_slotsBefore;
    int m_slots;
    int m_serviceSlots;
    FleetPosition m_position;
};

} // namespace lycheearch
