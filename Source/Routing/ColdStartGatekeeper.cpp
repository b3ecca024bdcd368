#include "Routing/ColdStartGatekeeper.h"

#include <algorithm>

#include "Base/Hash.h"

namespace lycheearch {

namespace {
constexpr Duration MaxPermitLifetime = 600s; ///< A permit that is not returned expires after this.

PermitAnswer refusal(std::string reason)
{
    return {"", std::move(reason)};
}
} // namespace

ColdStartGatekeeper::ColdStartGatekeeper(const Membership &membership, const BackendTable &backends,
                                         const ConfigStore &config, Duration holdOff)
    : m_membership(membership)
    , m_backends(backends)
    , m_config(config)
    , m_holdOff(holdOff)
{
}

InstanceId ColdStartGatekeeper::gatekeeperOf(const InstanceId &backend, TimePoint now) const
{
    const auto ranked = rendezvous(backend.value(), m_membership.aliveInDataCentre(now), 1);
    return ranked.empty() ? InstanceId() : ranked.front();
}

bool ColdStartGatekeeper::hasMajority(TimePoint now) const
{
    std::size_t listed = 1;
    for (const PeerInfo &member : m_membership.peers()) {
        listed += member.dataCentre == m_membership.dataCentre() && !member.leaving ? 1 : 0;
    }
    return m_membership.aliveInDataCentre(now).size() * 2 > listed;
}

void ColdStartGatekeeper::updateAssignments(TimePoint now)
{
    const bool active = hasMajority(now);
    std::lock_guard lock(m_mutex);
    for (const BackendView &view : m_backends.views()) {
        GatekeeperState &state = m_states[view.instance.id];
        const bool isGatekeeper = active
            && gatekeeperOf(view.instance.id, now) == m_membership.self()
            && view.instance.dataCentre == m_membership.dataCentre();
        if (!isGatekeeper) {
            state.gatekeeperSince.reset();
            state.inheritedKnown = false;
            state.permits.clear();
            continue;
        }
        if (!state.gatekeeperSince) {
            state.gatekeeperSince = now;
        }
    }
}

void ColdStartGatekeeper::updateInheritedRequests(GatekeeperState &state,
                                                  const BackendView &view) const
{
    if (state.startId != view.startId) {
        state.startId = view.startId;
        state.inheritedKnown = false;
        state.permits.clear();
    }
    const bool reportedAfterHoldOff =
        state.gatekeeperSince && view.reportedAt >= *state.gatekeeperSince + m_holdOff;
    if (!state.inheritedKnown && reportedAfterHoldOff) {
        state.inheritedRequests = view.reportedInFlight;
        state.inheritedKnown = true;
    }
    state.inheritedRequests = std::min(state.inheritedRequests, view.reportedInFlight);
}

PermitAnswer ColdStartGatekeeper::issuePermit(const InstanceId &backend, const StartId &startId,
                                              const InstanceId &holder, TimePoint now)
{
    updateAssignments(now);
    const auto view = m_backends.view(backend);
    if (!view || !view->known) {
        return refusal("the gatekeeper has no current report of the server");
    }
    const int coldLimit = backendClass(*m_config.current(), view->instance.backendClass).coldLimit;
    std::lock_guard lock(m_mutex);
    GatekeeperState &state = m_states[backend];
    if (!state.gatekeeperSince) {
        return refusal("this daemon is not the gatekeeper");
    }
    if (now - *state.gatekeeperSince < m_holdOff) {
        return refusal("the gatekeeper is within its hold-off time");
    }
    if (view->startId != startId) {
        return refusal("the server has restarted: its start id differs");
    }
    updateInheritedRequests(state, *view);
    if (!state.inheritedKnown) {
        return refusal("the gatekeeper has no report of the server since its hold-off time ended");
    }
    std::erase_if(state.permits, [&](const auto &item) {
        return now - item.second.issuedAt > MaxPermitLifetime
            || !m_membership.isMember(item.second.holder);
    });
    if (static_cast<int>(state.permits.size()) + state.inheritedRequests >= coldLimit) {
        return refusal("the concurrency limit of the cold server is reached");
    }
    const std::string permit = randomHex();
    state.permits[permit] = {holder, now};
    return {permit, ""};
}

void ColdStartGatekeeper::releasePermit(const InstanceId &backend, const std::string &permit)
{
    std::lock_guard lock(m_mutex);
    const auto state = m_states.find(backend);
    if (state != m_states.end()) {
        state->second.permits.erase(permit);
    }
}

} // namespace lycheearch
