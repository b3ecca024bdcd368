#include "Daemon/FleetLimits.h"

#include <algorithm>

#include "Feed/FeedOrder.h"

namespace lycheearch {

namespace {

/// Fleet-wide limits are divided by at least this number of daemons, also if fewer are registered.
constexpr int MinAssumedDaemons = 8;
/// Allowance for running daemons whose registration was not read yet, as a fraction of the
/// registered ones.
constexpr double UnknownDaemonShare = 0.25;

} // namespace

FleetPosition fleetPosition(const std::map<InstanceId, MemberRegistered> &members,
                            const InstanceId &self, int minDaemons, std::int64_t wallMilliseconds)
{
    FleetPosition position{0, 1, Duration::zero()};
    for (const auto &[id, member] : members) {
        if (id == self || !memberIsCurrent(member, wallMilliseconds)) {
            continue;
        }
        ++position.daemons;
        position.rank += id < self ? 1 : 0;
    }
    position.daemons = std::max(position.daemons, minDaemons);
    return position;
}

FleetLimits::FleetLimits(const FleetView &view, InstanceId self, const RouterBounds &bounds,
                         BackendPicker &picker, WindowedRetryBudget &retries, const Clock &clock)
    : m_view(view)
    , m_self(std::move(self))
    , m_bounds(bounds)
    , m_picker(picker)
    , m_retries(retries)
    , m_clock(clock)
{
}

RetryBounds FleetLimits::retryBounds(const RouterBounds &bounds, int daemons)
{
    RetryBounds share{bounds.retryRatio, bounds.retryWindow, 0};
    if (daemons > 0) {
        const double divisor = std::max(daemons, MinAssumedDaemons) * (1 + UnknownDaemonShare);
        share.slack = bounds.retrySlack / divisor;
    }
    return share;
}

void FleetLimits::divide()
{
    const std::int64_t wallMs = wallMilliseconds(m_clock);
    const auto daemons = static_cast<int>(
        std::count_if(m_view.members().begin(), m_view.members().end(),
                      [&](const auto &entry) { return memberIsCurrent(entry.second, wallMs); }));
    m_retries.setBounds(retryBounds(m_bounds, daemons));
    m_picker.setDaemons(daemons);
    FleetPosition position = fleetPosition(m_view.members(), m_self, MinAssumedDaemons, wallMs);
    position.clockOffset = m_clock.wallTime().time_since_epoch() - m_clock.now().time_since_epoch();
    m_picker.rateLimiter().setPosition(position);
    m_picker.rateLimiter().setServers(m_view);
    const auto table = m_view.table();
    if (!table) {
        return;
    }
    for (const auto &[name, service] : table->config().services) {
        const double limit = service.coldRequestsPerSecond <= 0
            ? 0
            : service.coldRequestsPerSecond * m_bounds.coldRateFactor + m_bounds.coldRateSlack;
        m_picker.rateLimiter().setColdLimits(name, {limit, std::max(daemons, MinAssumedDaemons)});
    }
}

} // namespace lycheearch
