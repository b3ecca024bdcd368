#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Config/ConfigState.h"
#include "OwnFormats/Backend.h"
#include "OwnFormats/InstanceList.h"
#include "Peer/PeerMessages.h"

namespace lycheearch {

/// What a request needs of a backend server: a version of an engine, or a plain service.
struct BackendNeed
{
    VersionId version;
    ServiceId service; ///< Used if the version is empty.
    std::string affinity; ///< Requests with the same text prefer the same server.

    /// Name of the pool of servers that can serve it.
    std::string pool() const;
};

/// A server that was chosen and counts as busy until it is released.
struct BackendChoice
{
    BackendTarget target;
    bool needsPermit = false; ///< The server is cold; the gatekeeper must agree first.
    DataCentreId dataCentre;
};

/// Why no server was chosen.
enum class NoChoice { None, AllBusy, NoneServes };

/// How a request to a server ended.
enum class BackendResult { Success, Refused, Failed, Cancelled };

/// What is known of one server.
struct BackendView
{
    InstanceRecord instance;
    StartId startId;
    bool cold = false;
    std::set<VersionId> versions;
    int reportedInFlight = 0;
    int outstanding = 0; ///< Sent by this daemon and not ended.
    int outstandingAtReport = 0;
    double limit = 1; ///< Of this daemon's requests at once; adapts.
    double latencySeconds = 0; ///< Smoothed.
    double failureShare = 0; ///< Smoothed.
    TimePoint reportedAt;
    TimePoint ejectedUntil;
    bool known = false; ///< A report arrived since the server started.
};

/// All backend servers, their load as far as it is known, and the choice among them. Safe for use
/// by many threads.
class BackendTable
{
public:
    BackendTable(DataCentreId ownDataCentre, Duration reportLifetime);

    void updateList(const std::vector<InstanceRecord> &instances);
    /// A server reported, directly or by way of a peer.
    void report(const InstanceId &backend, const BackendReport &report, TimePoint takenAt);
    /// As report(), for a digest that does not name versions.
    void reportDigest(const BackendLoadReport &digest, TimePoint now);
    /// A server did not answer, or is not in the state that was expected.
    void lostTrack(const InstanceId &backend);

    /// Chooses a server and counts it busy. Servers in \p excluded are left out.
    std::optional<BackendChoice> choose(const BackendNeed &need, const ConfigState &config,
                                        const std::set<InstanceId> &excluded, TimePoint now,
                                        NoChoice &why);
    void release(const InstanceId &backend, BackendResult result, Duration latency, TimePoint now);

    /// Versions that some server in service has loaded.
    std::set<VersionId> usableVersions(const ConfigState &config, TimePoint now) const;
    /// All servers, to be polled.
    std::vector<InstanceRecord> backendRecords() const;
    std::vector<BackendView> views() const;
    std::optional<BackendView> view(const InstanceId &backend) const;
    /// Recent reports of servers in cold start, which peers must know of before they poll again.
    std::vector<BackendLoadReport> digests(TimePoint now) const;

private:
    bool inService(const BackendView &view, const ConfigState &config, TimePoint now) const;
    bool serves(const BackendView &view, const BackendNeed &need) const;
    int estimatedLoad(const BackendView &view) const;
    /// The server that has the prefixes of the need's affinity cached, if any.
    InstanceId preferredFor(const BackendNeed &need) const;
    double expectedDelay(const BackendView &view, const BackendClassSpec &spec,
                         const InstanceId &preferred) const;
    bool mayEject(const BackendView &view, TimePoint now) const;

    DataCentreId m_ownDataCentre;
    Duration m_reportLifetime;
    mutable std::mutex m_mutex;
    std::map<InstanceId, BackendView> m_backends;
};

/// The manifest's description of a server's class, or a careful default.
BackendClassSpec backendClass(const ConfigState &config, const std::string &name);

} // namespace lycheearch
