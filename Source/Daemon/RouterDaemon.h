#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Base/Metrics.h"
#include "Config/RouterSettings.h"
#include "Daemon/CrashVerdictAgent.h"
#include "Daemon/FleetLimits.h"
#include "Daemon/LoadExchange.h"
#include "Daemon/MemberRegistration.h"
#include "Daemon/ReachProber.h"
#include "Daemon/ResourcePlan.h"
#include "Daemon/RolloutAgent.h"
#include "Feed/FeedClient.h"
#include "Feed/FeedServer.h"
#include "Fleet/FleetFollower.h"
#include "Fleet/FleetStore.h"
#include "Fleet/FleetView.h"
#include "Forward/CallerServer.h"
#include "Forward/RequestHeaderCodec.h"
#include "Forward/SharedAdmission.h"
#include "Log/StructuredLog.h"
#include "Net/HttpResponder.h"
#include "Net/SignalPipe.h"

namespace lycheearch {

/// Creates the store client that runs on the given event loop.
using StoreFactory =
    std::function<std::unique_ptr<FleetStore>(EventLoop &loop, const RouterSettings &settings)>;

/// A daemon without persistent state: builds its view of the fleet from the store, forwards
/// requests and drains gracefully on shutdown. While the store is unreachable it routes by its last
/// view.
class RouterDaemon : private FleetObserver, private EventLoopObserver, private ClientLimitObserver
{
public:
    /// Reads the settings again. Errors are added to \p findings.
    using SettingsLoader = std::function<RouterSettings(Findings &findings)>;

    RouterDaemon(RouterSettings settings, SettingsLoader settingsLoader,
                 const StoreFactory &makeStore, const RecordCodec &codec,
                 const RequestHeaderCodec &headerCodec);
    ~RouterDaemon() override;

    /// Opens the listening sockets. Returns an error message, or an empty string on success.
    std::string start();
    /// Serves until SIGTERM or SIGINT, then drains: returns when the listening socket and all
    /// connections are closed, or shortly before the grace period ends. SIGHUP reloads the
    /// settings.
    void run();

private:
    void onRecord(ViewChange change, const StoredRecord &record, TimePoint now) override;
    void onBackendRemoved(const InstanceId &id, const char *reason, TimePoint now) override;
    void onStoreLost(Topic topic, StoreFault fault, const std::string &detail,
                     TimePoint now) override;
    void onStoreEra(StoreEra previous, StoreEra era, TimePoint now) override;
    void onStoreRegained(Topic topic, Duration lostFor, TimePoint now) override;

    void onPageRead(Topic topic, const RecordPage &page, bool listing, TimePoint now) override;

    void onLongTurn(const char *duty, Duration duration, TimePoint now) override;
    void onLateTimers(Duration lateness, TimePoint now) override;

    void onClientLimit(const char *port, const char *why, TimePoint now) override;

    void onFeedChange(const InstanceId &source, const char *why);
    /// Schedules one early read of the member records, so that this daemon soon finds the daemons
    /// that started at about the same time and can follow one of them.
    void scheduleMemberRead(TimePoint now);
    void onSignal(int signal, TimePoint now);
    void reloadSettings(TimePoint now);
    void beginDrain(TimePoint now);
    /// Runs periodically during shutdown: closes idle connections, then the listening socket, and
    /// stops the event loop at the end.
    void checkDrained(TimePoint now);
    /// Periodic cleanup of idle backend connections and of state of removed backend servers. Also
    /// divides the fleet-wide limits again, since registrations of daemons expire.
    void sweep(TimePoint now);
    void applyConfig(Offset offset, TimePoint now);
    /// Sets the daemons that requests can be passed to.
    /// Divides the limits of the fleet anew.
    void divideLimits(TimePoint now);
    /// The same, once for all registrations that are read together.
    void divideLimitsSoon();
    void updatePeers();
    void onReachChanged(const ServiceId &service, bool reached, TimePoint now);
    std::size_t callerConnections() const;
    /// Opens the ports for daemons and those with pages. Returns as start() does.
    std::string startFeed();
    std::string startPages();
    CompleteHttpResponse readiness(TimePoint now);
    CompleteHttpResponse metricsPage(TimePoint now);

    RouterSettings m_settings;
    SettingsLoader m_settingsLoader;
    SystemClock m_clock;
    EventLoop m_loop;
    StructuredLog m_log;
    Metrics m_metrics;
    FleetView m_view;
    std::unique_ptr<FleetStore> m_store;
    const RecordCodec &m_codec;
    FleetFollower m_follower;
    BackendPicker m_picker;
    BackendHttpConnectionPool m_connections;
    BackendHttpConnectionPool m_peerConnections; ///< To other daemons.
    PeerSelector m_peers;
    RelayAdmission m_relayAdmission;
    ReachProber m_reachProber;
    WindowedRetryBudget m_retries;
    FleetLimits m_fleetLimits;
    bool m_divisionDeferred = false;
    RolloutCounts m_rolloutCounts;
    ModelCascade m_modelCascade;
    CrashTable m_crashes;
    PendingCrashes m_pendingCrashes;
    ReturnSchedule m_returnSchedule;
    ShutdownPolicy m_shutdownPolicy;
    const ClientMemory m_clientMemory;
    const PortLimits m_portLimits;
    BodyBudget m_headBudget; ///< Of heads of requests, and of what is sent ahead.
    BodyBudget m_bodyBudget; ///< Of requests.
    BodyBudget m_responseBudget; ///< Of responses, until their callers have read them.
    CallerRequests m_callerRequests;
    CallerReaders m_readers;
    Hedging m_hedging;
    std::unique_ptr<SharedAdmission> m_admission; ///< Null if admission is off.
    ForwardContext m_context;
    FeedClient m_feedClient;
    RolloutAgent m_rolloutAgent;
    LoadExchange m_loadExchange;
    CrashVerdictAgent m_crashVerdicts;
    MemberRegistration m_registration;
    SignalPipe m_signals;
    std::unique_ptr<CallerServer> m_callerServer;
    std::unique_ptr<CallerServer> m_relayServer; ///< Null without RouterSettings::relayListen.
    std::unique_ptr<FeedServer> m_feedServer;
    std::unique_ptr<HttpResponder> m_readinessServer;
    std::unique_ptr<HttpResponder> m_metricsServer;
    bool m_wasReady = false;
    bool m_memberReadScheduled = false;
};

} // namespace lycheearch
