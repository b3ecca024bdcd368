#pragma once

#include <atomic>
#include <memory>

#include "Base/Metrics.h"
#include "Config/Settings.h"
#include "Daemon/CallerRequestReader.h"
#include "Daemon/CallerSockets.h"
#include "Request/Pipeline.h"
#include "Routing/BackendTable.h"
#include "State/Billing.h"
#include "State/ConfigStore.h"
#include "State/SharedClaimTable.h"
#include "Timeline/Timeline.h"

namespace lycheearch {

/// Shutdown state and load of the daemon, as shown by health checks and the operator status.
struct DaemonHealth
{
    std::atomic<bool> draining = false; ///< Reports not ready to the load balancer.
    std::atomic<bool> stopping = false; ///< New requests are refused.
    std::atomic<int> inFlight = 0; ///< Caller requests being handled.
};

/// Components of the daemon that the front end uses or whose state it shows.
struct FrontEndDependencies
{
    const Settings &settings;
    const Pipeline &pipeline;
    ConfigStore &config;
    const Membership &membership;
    const BackendTable &backends;
    const Billing &billing;
    const ReplicaStore &replicas;
    const SharedClaimTable &claims;
    const Timeline &timeline;
    Metrics &metrics;
    DaemonHealth &health;
    const Clock &clock;
};

/// HTTP server for callers and operators, with a bounded thread pool. While connections wait for a
/// thread, those are closed that occupy one without a complete request.
class FrontEnd
{
public:
    explicit FrontEnd(const FrontEndDependencies &dependencies);
    ~FrontEnd();
    FrontEnd(const FrontEnd &) = delete;
    FrontEnd &operator=(const FrontEnd &) = delete;

    /// Starts listening. Returns a failure if the port can't be opened.
    Status start();
    /// Stops accepting connections and waits for the running requests.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace lycheearch
