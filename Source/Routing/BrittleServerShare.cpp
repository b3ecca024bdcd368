#include "Routing/BrittleServerShare.h"

#include <algorithm>

#include "Base/Hash.h"

namespace lycheearch {

namespace {

/// Requests per second and slot, from some time after the last rejection on.
struct RateStep
{
    Duration since;
    double perSlot;
};

constexpr RateStep RateSteps[] = {{6s, 16}, {3s, 8}, {BrittleServerShare::RejectionPause, 4}};

} // namespace

BrittleServerShare::BrittleServerShare(std::uint64_t seed, int slots, int serviceSlots,
                                       const FleetPosition &position)
    : m_seed(seed)
    , m_slots(std::max(1, slots))
    , m_serviceSlots(std::max(m_slots, serviceSlots))
    , m_position(position)
{
}

int BrittleServerShare::ownSlots() const
{
    // The slots lie evenly on a ring of the daemons that begins at first.
    const std::int64_t daemons = std::max(1, m_position.daemons);
    const auto first =
        static_cast<std::int64_t>(mixBits(m_seed) % static_cast<std::uint64_t>(daemons));
    const std::int64_t place = (m_position.rank - first + daemons) % daemons;
    const auto slotsBefore = [&](std::int64_t end) {
        return (end * m_slots + daemons - 1) / daemons;
    };
    return static_cast<int>(slotsBefore(place + 1) - slotsBefore(place));
}

BrittleServerShare::TurnRate BrittleServerShare::turnRate(Duration sinceRejection) const
{
    const auto *step =
        std::find_if(std::begin(RateSteps), std::end(RateSteps) - 1,
                     [&](const RateStep &candidate) { return sinceRejection >= candidate.since; });
    return {step->perSlot * m_slots, step->since};
}

} // namespace lycheearch
