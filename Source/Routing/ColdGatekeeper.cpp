#include "Routing/ColdGatekeeper.h"

#include <algorithm>

#include "Base/Hash.h"

namespace lycheearch {

namespace {
constexpr Duration LongestPermit = 600s; ///< A permit that is not returned expires after this.

PermitAnswer refusal(std::string reason)
{
    return {"", std::move(reason)};
}
} // namespace

ColdGatekeeper::ColdGatekeeper(const Roster &roster, const BackendTable &backends,
                               const ConfigStore &config, Duration holdOff)
    : m_roster(roster)
    , m_backends(backends)
    , m_config(config)
    , m_holdOff(holdOff)
{
}

InstanceId ColdGatekeeper::gatekeeperOf(const InstanceId &backend, TimePoint now) const
{
    const auto ranked = rendezvous(backend.value(), m_roster.aliveInDataCentre(now), 1);
    return ranked.empty() ? InstanceId() : ranked.front();
}

bool ColdGatekeeper::mayAct(TimePoint now) const
{
    std::size_t listed = 1;
    for (const RosterMember &member : m_roster.peers()) {
        listed += member.dataCentre == m_roster.dataCentre() && !member.leaving ? 1 : 0;
    }
    return m_roster.aliveInDataCentre(now).size() * 2 > listed;
}

void ColdGatekeeper::watch(TimePoint now)
{
    const bool active = mayAct(now);
    std::lock_guard lock(m_mutex);
    for (const BackendView &view : m_backends.views()) {
        Gate &gate = m_gates[view.instance.id];
        const bool keeper = active && gatekeeperOf(view.instance.id, now) == m_roster.self()
            && view.instance.dataCentre == m_roster.dataCentre();
        if (!keeper) {
            gate.since.reset();
            gate.counted = false;
            gate.permits.clear();
            continue;
        }
        if (!gate.since) {
            gate.since = now;
        }
    }
}

void ColdGatekeeper::updateInherited(Gate &gate, const BackendView &view) const
{
    if (gate.startId != view.startId) {
        gate.startId = view.startId;
        gate.counted = false;
        gate.permits.clear();
    }
    const bool fresh = gate.since && view.reportedAt >= *gate.since + m_holdOff;
    if (!gate.counted && fresh) {
        gate.inherited = view.reportedInFlight;
        gate.counted = true;
    }
    gate.inherited = std::min(gate.inherited, view.reportedInFlight);
}

PermitAnswer ColdGatekeeper::take(const InstanceId &backend, const StartId &startId,
                                  const InstanceId &holder, TimePoint now)
{
    watch(now);
    const auto view = m_backends.view(backend);
    if (!view || !view->known) {
        return refusal("the gatekeeper has no current report of the server");
    }
    const int coldLimit = backendClass(*m_config.current(), view->instance.backendClass).coldLimit;
    std::lock_guard lock(m_mutex);
    Gate &gate = m_gates[backend];
    if (!gate.since) {
        return refusal("this daemon is not the gatekeeper");
    }
    if (now - *gate.since < m_holdOff) {
        return refusal("the gatekeeper is within its hold-off time");
    }
    if (view->startId != startId) {
        return refusal("the server has restarted: its start id differs");
    }
    updateInherited(gate, *view);
    if (!gate.counted) {
        return refusal("the gatekeeper has no report of the server since its hold-off time ended");
    }
    std::erase_if(gate.permits, [&](const auto &item) {
        return now - item.second.givenAt > LongestPermit || !m_roster.isMember(item.second.holder);
    });
    if (static_cast<int>(gate.permits.size()) + gate.inherited >= coldLimit) {
        return refusal("the concurrency limit of the cold server is reached");
    }
    const std::string permit = randomHex();
    gate.permits[permit] = {holder, now};
    return {permit, ""};
}

void ColdGatekeeper::giveBack(const InstanceId &backend, const std::string &permit)
{
    std::lock_guard lock(m_mutex);
    const auto gate = m_gates.find(backend);
    if (gate != m_gates.end()) {
        gate->second.permits.erase(permit);
    }
}

} // namespace lycheearch
