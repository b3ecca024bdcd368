#include "Routing/BrittleServerShare.h"

#include <algorithm>

namespace lycheearch {

namespace {

/// Part of the slots that is used: a new connection may hold a slot for a moment.
constexpr double UsableShare = 0.9;

/// Requests per second and slot, from some time after the last rejection on.
struct RateStep
{
    Duration since;
    double perSlot;
};

constexpr RateStep RateSteps[] = {{6s, 16}, {3s, 8}, {BrittleServerShare::RejectionPause, 4}};
/// The same beyond the slots that belong to the daemons, if each has few of them.
constexpr RateStep ExtraRate{10s, 1};
constexpr int FewSlots = 4; ///< For each daemon.

} // namespace

int BrittleServerShare::usableSlots(int slots)
{
    return std::max(1, static_cast<int>(slots * UsableShare));
}

BrittleServerShare::BrittleServerShare(int slotsBefore, int slots, int serviceSlots,
                                       const FleetPosition &position)
    : m_slotsBefore(slotsBefore)
    , m_slots(usableSlots(slots))
    , m_serviceSlots(std::max(m_slots, serviceSlots))
    , m_position(position)
{
}

int BrittleServerShare::ownSlots() const
{
    // The slots of all servers are dealt to the daemons in turn.
    const int daemons = std::max(1, m_position.daemons);
    const auto dealtBefore = [&](int slot) {
        return (slot - m_position.rank + daemons - 1) / daemons;
    };
    return dealtBefore(m_slotsBefore + m_slots + daemons) - dealtBefore(m_slotsBefore + daemons);
}

std::optional<BrittleServerShare::TurnRate>
BrittleServerShare::turnRate(Duration sinceRejection) const
{
    if (dividesSlots()) {
        const bool few = m_serviceSlots < FewSlots * m_position.daemons;
        return !few || sinceRejection < ExtraRate.since
            ? std::nullopt
            : std::optional(TurnRate{ExtraRate.perSlot * m_slots, ExtraRate.since});
    }
    const auto *step =
        std::find_if(std::begin(RateSteps), std::end(RateSteps) - 1,
                     [&](const RateStep &candidate) { return sinceRejection >= candidate.since; });
    return TurnRate{step->perSlot * m_slots, step->since};
}

} // namespace lycheearch
