#pragma once

#include <cstdint>

#include "Base/Time.h"
#include "Routing/RateLimitTurns.h"

namespace lycheearch {

/// What one daemon may have at a brittle server, so that the server hardly ever rejects a request
/// of any daemon. The daemons learn of each other's requests too late to keep to the sum of them.
///
/// If the service has at least one slot for each daemon, each slot of a server belongs to one
/// daemon: all daemons together can't have more requests there than it has slots. The slots of each
/// server begin at another daemon, so that all daemons have about as many in all.
///
/// With fewer slots, most daemons would have none. There they take turns, at a rate that follows
/// from the slots and from the time since the last rejection.
class BrittleServerShare
{
public:
    /// \p seed gives each server its own order of the daemons, \p slots are those of the server,
    /// \p serviceSlots those of all servers of the service.
    BrittleServerShare(std::uint64_t seed, int slots, int serviceSlots,
                       const FleetPosition &position);

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

    /// The rate of turns if not dividesSlots(). \p sinceRejection is the time since the server last
    /// rejected a request, at least RejectionPause.
    TurnRate turnRate(Duration sinceRejection) const;

private:
    std::uint64_t m_seed;
    int m_slots;
    int m_serviceSlots;
    FleetPosition m_position;
};

} // namespace lycheearch
