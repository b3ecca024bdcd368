#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Base/Ids.h"
#include "Base/Time.h"

namespace lycheearch {

/// Knows of which services this daemon reaches no backend server, although other daemons may. It
/// answers the load of a daemon whose links to the servers are cut while its callers still send.
///
/// Connections that fail to several servers, of more than one data centre if there are several,
/// without one that succeeds in between, mean that this daemon is cut off. Only connections and
/// answers of attempts that began after the failure prove the contrary, since what was under way
/// arrives late. A server that accepts a connection and answers late is no reason.
class ServiceReach
{
public:
    /// Interval between two connections that are opened to find out whether a service is reached
    /// again.
    static constexpr Duration ProbePeriod = 300ms;

    /// The servers of a service that may get requests, with their data centres.
    using Servers = std::map<InstanceId, DataCentreId>;
    /// Called when a service is cut off, or reached again.
    using ChangeCallback = std::function<void(const ServiceId &service, bool reached)>;

    void onChange(ChangeCallback callback) { m_onChange = std::move(callback); }
    /// Records that no connection to a server of the service could be made.
    void onConnectFailed(const ServiceId &service, const InstanceId &server, const Servers &servers,
                         TimePoint now);
    /// Records that a server accepted a connection or answered a request; the attempt began at
    /// \p begunAt. Returns true if the service was cut off and is not any more.
    bool onReached(const ServiceId &service, const InstanceId &server, TimePoint begunAt);

    /// Whether no server of the service is reached.
    bool cutOff(const ServiceId &service) const;
    /// All services that are cut off.
    std::vector<ServiceId> cutOffServices() const;
    /// Whether a server other than \p server, of any service, was reached by an attempt that began
    /// after \p since.
    bool reachedAnother(const InstanceId &server, TimePoint since) const;
    /// The server to connect to in order to find out whether the service is reached again; each
    /// call names another one. std::nullopt if there is none or the service is not cut off.
    std::optional<InstanceId> nextProbe(const ServiceId &service, const Servers &servers);

private:
    struct Failure
    {
        TimePoint at;
        DataCentreId dataCentre;
    };

    struct Service
    {
        std::map<InstanceId, Failure> failures; ///< Since the last success.
        bool cutOff = false;
        TimePoint cutOffSince;
        std::size_t servers = 0; ///< Of the service, when it was cut off.
        std::set<InstanceId> reachedAgain; ///< Since then.
        int successes = 0; ///< Since then.
        InstanceId lastProbe;
    };

    static bool meansCutOff(const std::map<InstanceId, Failure> &failures, const Servers &servers);
    void notify(const ServiceId &service, bool reached) const;

    /// A server that was reached.
    struct Success
    {
        InstanceId server;
        TimePoint begunAt; ///< Begin of the latest successful attempt.
    };

    std::map<ServiceId, Service> m_services;
    Success m_lastSuccess;
    Success m_lastSuccessOfAnother; ///< Of another server than the last one.
    ChangeCallback m_onChange;
};

} // namespace lycheearch
