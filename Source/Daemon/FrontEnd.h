#pragma once

#include <atomic>
#include <memory>

#include "Base/Metrics.h"
#include "Config/Settings.h"
#include "Daemon/CallerRequestReader.h"
#include "Request/Pipeline.h"
#include "Routing/BackendTable.h"
#include "State/Billing.h"
#include "State/ClaimKeeper.h"
#include "State/ConfigStore.h"
#include "Timeline/Timeline.h"

namespace lycheearch {

/// State of the daemon that health checks and the operator's status show.
struct DaemonHealth
{
    std::atomic<bool> draining = false; ///< Not ready: the balancer should send nothing more.
    std::atomic<bool> stopping = false; ///< New requests are refused.
    std::atomic<int> inFlight = 0;
};

/// What the front end shows and uses of the daemon.
struct FrontEndParts
{
    const Settings &settings;
    const Pipeline &pipeline;
    ConfigStore &config;
    const Roster &roster;
    const BackendTable &backends;
    const Billing &billing;
    const KeptStore &kept;
    const ClaimKeeper &claims;
    const Timeline &timeline;
    Metrics &metrics;
    DaemonHealth &health;
    const Clock &clock;
};

/// HTTP server for callers and operators.
class FrontEnd
{
public:
    explicit FrontEnd(const FrontEndParts &parts);
    ~FrontEnd();
    FrontEnd(const FrontEnd &) = delete;
    FrontEnd &operator=(const FrontEnd &) = delete;

    /// Listens. Returns the failure if the port cannot be had.
    Status start();
    /// Accepts no new connections and waits for the running requests.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace lycheearch
