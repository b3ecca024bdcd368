#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Adapters/Backend.h"
#include "Adapters/InstanceList.h"
#include "Config/ConfigState.h"
#include "Peer/PeerMessages.h"

namespace lycheearch {

/// What a request needs from a backend server: a model version on an engine, or a plain service.
struct BackendNeed
{
    VersionId version;
    ServiceId service; ///< Used if the version is empty.
    std::string affinity; ///< Requests with the same value prefer the same server.

    /// Name of the pool of servers that can serve the request.
    std::string pool() const;
};

/// A chosen server. The request counts as outstanding there until release().
struct BackendChoice
{
    BackendTarget target;
    bool needsPermit = false; ///< The server is cold: a permit of the gatekeeper is required.
    DataCentreId dataCentre;
};

/// Why no server was chosen: all servers of the pool are busy, or none serves it.
enum class ChoiceFailure { None, AllBusy, NoServer };

/// Outcome of a request to a server.
enum class BackendResult { Success, Refused, Failed, Cancelled };

/// State of one backend server, from its reports and from the requests of this daemon.
struct BackendView
{
    InstanceRecord instance;
    StartId startId;
    bool cold = false;
    std::set<VersionId> versions;
    int reportedInFlight = 0; ///< Requests of all daemons in flight, by the last report.
    int outstanding = 0; ///< Requests of this daemon in flight.
    int outstandingAtReport = 0;
    double limit = 1; ///< Adaptive concurrency limit for the requests of this daemon.
    double latencySeconds = 0; ///< Moving average.
    double failureShare = 0; ///< Moving average, 0 to 1.
    TimePoint reportedAt;
    TimePoint ejectedUntil;
    bool known = false; ///< Whether a report of the server's current start is available.
};

/// All backend servers with their reported load, and the choice of a server for a request. Handles
/// failing servers (ejection for a while, at most half of a pool) and full ones (an adaptive
/// concurrency limit per server). Thread-safe.
class BackendTable
{
public:
    BackendTable(DataCentreId ownDataCentre, Duration reportLifetime);

    /// Replaces the list of instances. Removed servers stay until their last request has ended.
    void updateList(const std::vector<InstanceRecord> &instances);
    /// Applies a report of a server, taken at \p takenAt. Reports that are older than the last one
    /// are ignored.
    void report(const InstanceId &backend, const BackendReport &report, TimePoint takenAt);
    /// Applies a load report that a peer received from a server. It does not name the loaded
    /// versions, so a server that has restarted since its last report to this daemon is out of
    /// service until the next one.
    void applyPeerLoadReport(const BackendLoadReport &loadReport, TimePoint now);
    /// Takes a server out of service until its next report, because it did not answer or was not in
    /// the expected state.
    void markUnknown(const InstanceId &backend);

    /// Chooses the server with the shortest expected delay and counts one more outstanding request
    /// there. Servers in \p excluded and ejected ones are used only if there are no others. A cold
    /// server is used only if no warm one can take the request, and only in this daemon's own data
    /// centre. If no server can be chosen, sets \p failure to the reason.
    std::optional<BackendChoice> choose(const BackendNeed &need, const ConfigState &config,
                                        const std::set<InstanceId> &excluded, TimePoint now,
                                        ChoiceFailure &failure);
    /// Ends a request that choose() counted. \p latency counts only if \p result is Success.
    void release(const InstanceId &backend, BackendResult result, Duration latency, TimePoint now);

    /// Versions that at least one server in service has loaded.
    std::set<VersionId> usableVersions(const ConfigState &config, TimePoint now) const;
    /// All servers to poll.
    std::vector<InstanceRecord> backendRecords() const;
    std::vector<BackendView> views() const;
    std::optional<BackendView> view(const InstanceId &backend) const;
    /// Recent reports of servers in cold start, which peers need before their own next poll.
    std::vector<BackendLoadReport> coldLoadReports(TimePoint now) const;

private:
    bool inService(const BackendView &view, const ConfigState &config, TimePoint now) const;
    bool serves(const BackendView &view, const BackendNeed &need) const;
    int estimatedLoad(const BackendView &view) const;
    /// The server with the highest rendezvous weight for the affinity among those that can serve
    /// the request, which likely has the prompt prefix cached. Empty if the request has no affinity
    /// or no server can serve it.
    InstanceId affinityServer(const BackendNeed &need) const;
    double expectedDelay(const BackendView &view, const BackendClassSpec &spec,
                         const InstanceId &affinityBackend) const;
    bool mayEject(const BackendView &view, TimePoint now) const;

    DataCentreId m_ownDataCentre;
    Duration m_reportLifetime;
    mutable std::mutex m_mutex;
    std::map<InstanceId, BackendView> m_backends;
};

/// Specification of the backend class \p name in the manifest, or the default BackendClassSpec.
BackendClassSpec backendClass(const ConfigState &config, const std::string &name);

} // namespace lycheearch
