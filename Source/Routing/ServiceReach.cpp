#include "Routing/ServiceReach.h"

#include <algorithm>

namespace lycheearch {

namespace {

/// Distinct servers that no connection could be made to: half of the service, within these limits.
constexpr std::size_t MinFailedServers = 2;
constexpr std::size_t MaxFailedServers = 4;
constexpr std::size_t MinFailedDataCentres = 2;
/// Failures are forgotten after this time: in between, no request may have tried another server.
constexpr Duration FailureLifetime = 5s;
/// Distinct servers that must be reached again before requests are sent directly.
constexpr std::size_t ServersReachedAgain = 2;
/// The same if only one server is reached: the others may have stopped.
constexpr int SuccessesOfOneServer = 4;

} // namespace

bool ServiceReach::meansCutOff(const std::map<InstanceId, Failure> &failures,
                               const Servers &servers)
{
    std::set<DataCentreId> dataCentres;
    for (const auto &[id, dataCentre] : servers) {
        dataCentres.insert(dataCentre);
    }
    std::set<DataCentreId> failedDataCentres;
    for (const auto &[id, failure] : failures) {
        failedDataCentres.insert(failure.dataCentre);
    }
    const std::size_t half =
        std::clamp((servers.size() + 1) / 2, MinFailedServers, MaxFailedServers);
    return !servers.empty() && failures.size() >= std::min(half, servers.size())
        && failedDataCentres.size() >= std::min(MinFailedDataCentres, dataCentres.size());
}

void ServiceReach::notify(const ServiceId &service, bool reached) const
{
    if (m_onChange) {
        m_onChange(service, reached);
    }
}

void ServiceReach::onConnectFailed(const ServiceId &service, const InstanceId &server,
                                   const Servers &servers, TimePoint now)
{
    const auto known = servers.find(server);
    Service &state = m_services[service];
    if (known == servers.end() || state.cutOff) {
        return;
    }
    state.failures[server] = {now, known->second};
    std::erase_if(state.failures, [&](const auto &entry) {
        return now - entry.second.at > FailureLifetime || !servers.contains(entry.first);
    });
    if (!meansCutOff(state.failures, servers)) {
        return;
    }
    state.cutOff = true;
    state.cutOffSince = now;
    state.servers = servers.size();
    state.reachedAgain.clear();
    state.successes = 0;
    notify(service, false);
}

bool ServiceReach::onReached(const ServiceId &service, const InstanceId &server, TimePoint begunAt)
{
    Service &state = m_services[service];
    if (begunAt >= m_lastSuccess.begunAt) {
        if (m_lastSuccess.server != server) {
            m_lastSuccessOfAnother = m_lastSuccess;
        }
        m_lastSuccess = {server, begunAt};
    }
    std::erase_if(state.failures, [&](const auto &entry) { return entry.second.at <= begunAt; });
    if (!state.cutOff || begunAt < state.cutOffSince) {
        return false;
    }
    state.reachedAgain.insert(server);
    ++state.successes;
    if (state.reachedAgain.size() < std::min(ServersReachedAgain, state.servers)
        && state.successes < SuccessesOfOneServer) {
        return false;
    }
    state.cutOff = false;
    state.failures.clear();
    notify(service, true);
    return true;
}

bool ServiceReach::cutOff(const ServiceId &service) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.cutOff;
}

std::vector<ServiceId> ServiceReach::cutOffServices() const
{
    std::vector<ServiceId> services;
    for (const auto &[service, state] : m_services) {
        if (state.cutOff) {
            services.push_back(service);
        }
    }
    return services;
}

bool ServiceReach::reachedAnother(const InstanceId &server, TimePoint since) const
{
    const Success &success =
        m_lastSuccess.server == server ? m_lastSuccessOfAnother : m_lastSuccess;
    return success.begunAt > since;
}

std::optional<InstanceId> ServiceReach::nextProbe(const ServiceId &service, const Servers &servers)
{
    Service &state = m_services[service];
    if (!state.cutOff || servers.empty()) {
        return std::nullopt;
    }
    state.servers = servers.size();
    auto next = servers.upper_bound(state.lastProbe);
    if (next == servers.end()) {
        next = servers.begin();
    }
    state.lastProbe = next->first;
    return next->first;
}

} // namespace lycheearch
