#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Config/RouterSettings.h"
#include "Fleet/FleetView.h"
#include "Routing/BackendPicker.h"
#include "Routing/WindowedRetryBudget.h"

namespace lycheearch {

/// Returns the place of \p self among the registered daemons, whether its own registration has been
/// read or not. At least \p minDaemons are assumed. \p wallMilliseconds is the present time in Unix
/// milliseconds.
FleetPosition fleetPosition(const std::map<InstanceId, MemberRegistered> &members,
                            const InstanceId &self, int minDaemons, std::int64_t wallMilliseconds);

/// Divides the limits that hold for all daemons together (retries, cold servers, rate limits that
/// servers named) among the registered ones. Daemons count by their registration, not by who can be
/// reached, so that both sides of a partition keep to their part.
class FleetLimits
{
public:
    FleetLimits(const FleetView &view, InstanceId self, const RouterBounds &bounds,
                BackendPicker &picker, WindowedRetryBudget &retries, const Clock &clock);

    /// Applies the present configuration, bounds and number of daemons.
    void divide();
    /// Bounds of the retries of one of \p daemons; 0 if it has not read how many there are.
    static RetryBounds retryBounds(const RouterBounds &bounds, int daemons);

private:
    const FleetView &m_view;
    InstanceId m_self;
    const RouterBounds &m_bounds;
    BackendPicker &m_picker;
    WindowedRetryBudget &m_retries;
    const Clock &m_clock;
};

} // namespace lycheearch
