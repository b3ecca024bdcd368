#include "Daemon/Daemon.h"

#include <thread>

#include "Adapters/HttpInstanceList.h"
#include "Adapters/HttpLogService.h"
#include "Adapters/HttpModelEngine.h"
#include "Adapters/HttpPlainService.h"
#include "Adapters/HttpRatingService.h"
#include "Adapters/HttpWeightStore.h"
#include "Base/Hash.h"
#include "Base/Logger.h"
#include "Base/PeriodicThread.h"
#include "Daemon/BackendPoller.h"
#include "Daemon/FrontEnd.h"
#include "Daemon/LocalPeerService.h"
#include "Daemon/OrderDispatcher.h"
#include "Daemon/PeerExchange.h"
#include "Peer/RpcPeerNetwork.h"
#include "Request/AdmitFilter.h"
#include "Request/AuthenticateFilter.h"
#include "Request/BillFilter.h"
#include "Request/DeduplicateFilter.h"
#include "Request/DispatchFilter.h"
#include "Request/PinSessionFilter.h"
#include "Request/PlanFilter.h"
#include "Routing/RegressionMonitor.h"
#include "State/ConfigTail.h"

namespace lycheearch {

namespace {

constexpr Duration BackendConnectTimeout = 400ms;
constexpr Duration BackendReportLifetime = 5s;
constexpr Duration ClaimLifetime = 600s;
constexpr Duration LogReadWait = 1s;
constexpr Duration TailRetryDelay = 250ms;
constexpr Duration BillingPeriod = 100ms;
constexpr Duration RegressionCheckPeriod = 250ms;
constexpr Duration MaintenancePeriod = 1s;
constexpr Duration DrainPollPeriod = 10ms;
constexpr Duration ClaimDrainTimeout = 5s;
constexpr std::size_t ClaimQueueCapacity = 10'000;
constexpr std::size_t RatingQueueCapacity = 1'000;
constexpr std::size_t ClaimsPerRead = 2'000;
const Logger Log("daemon");

} // namespace

/// The components of a daemon, in order of their dependencies.
class Daemon::Private
{
public:
    explicit Private(Settings settings);

    Status start();
    std::size_t stop();

private:
    std::vector<std::unique_ptr<Filter>> makeFilters();
    void addThread(const std::string &name, PeriodicThread::Step step);
    Duration tailConfiguration();
    Duration tailClaims();
    Duration readInstanceList();
    Duration stopRegressedVersions();
    Duration maintain();

    Settings m_settings;
    SystemClock m_clock;
    HybridClock m_hybridClock;
    Metrics m_metrics;
    DaemonHealth m_health;
    Timeline m_timeline;

    HttpLogService m_log;
    HttpInstanceList m_instanceList;
    HttpRatingService m_ratings;
    HttpWeightStore m_weights;
    ConnectionPool m_connections;
    HttpModelEngine m_engine;
    HttpPlainService m_plainService;

    ConfigStore m_config;
    ConfigTail m_configTail;
    Membership m_membership;
    ReplicaStore m_replicas;
    SharedClaimTable m_claims;
    VersionStats m_stats;
    BackendTable m_backends;
    ColdStartGatekeeper m_gatekeeper;
    InFlightTable m_inFlight;
    LocalPeerService m_peerService;
    RpcPeerNetwork m_network;

    StreamAppender m_claimAppender;
    ClaimProtocol m_claimProtocol;
    Billing m_billing;
    SessionDirectory m_sessions;
    PeerExchange m_exchange;

    SuspectVersions m_suspects;
    RetryBudget m_retries;
    BackendAdmission m_admission;
    Rater m_rater;
    Planner m_planner;
    RegressionMonitor m_regressionMonitor;
    OrderDispatcher m_orderDispatcher;
    GenerationRunner m_generations;
    ServiceRunner m_services;
    Pipeline m_pipeline;
    FrontEnd m_frontEnd;
    std::unique_ptr<BackendPoller> m_poller;
    std::vector<std::unique_ptr<PeriodicThread>> m_threads;
};

Daemon::Private::Private(Settings settings)
    : m_settings(std::move(settings))
    , m_timeline(m_settings.instance, static_cast<std::size_t>(m_settings.limits.timelineEvents),
                 m_hybridClock, m_clock)
    , m_log(m_settings.platform.log, m_settings.platform.timeout)
    , m_instanceList(m_settings.platform.instanceList, m_settings.platform.timeout)
    , m_ratings(m_settings.platform.rating, m_settings.platform.timeout)
    , m_weights(m_settings.platform.weightStore, m_settings.platform.timeout)
    , m_connections(BackendConnectTimeout, m_clock)
    , m_engine({BackendConnectTimeout, m_settings.timing.firstByteTimeout,
                m_settings.timing.streamIdleTimeout},
               m_connections, m_clock)
    , m_plainService({BackendConnectTimeout, m_settings.timing.firstByteTimeout,
                      m_settings.timing.streamIdleTimeout},
                     m_connections, m_clock)
    , m_configTail(m_log, m_config, m_settings.instance)
    , m_membership(m_settings.instance, StartId(randomHex()), m_settings.dataCentre,
                   m_settings.timing.suspicionTimeout, m_settings.peerAddresses)
    , m_replicas(static_cast<std::size_t>(m_settings.limits.keptRecords),
                 m_settings.timing.keptAnswerLifetime)
    , m_claims(ClaimLifetime)
    , m_backends(m_settings.dataCentre, BackendReportLifetime)
    , m_gatekeeper(m_membership, m_backends, m_config, m_settings.timing.gatekeeperHoldOff)
    , m_peerService(m_membership.startId(), m_membership, m_config, m_claims, m_replicas,
                    m_backends, m_gatekeeper, m_stats, m_inFlight, m_hybridClock, m_health.stopping,
                    m_clock)
    , m_network(m_settings.instance, m_settings.peerListen, m_settings.timing.peerTimeout,
                PeerAuthenticator(m_settings.secrets.peerKey), m_peerService, m_clock)
    , m_claimAppender(m_log, Streams::Claims, ClaimQueueCapacity)
    , m_claimProtocol(m_claims, m_claimAppender, m_network, m_membership,
                      m_settings.timing.claimLogTimeout, m_clock)
    , m_billing(m_log, m_network, m_membership, m_replicas,
                static_cast<std::size_t>(m_settings.limits.keptRecords), m_clock)
    , m_sessions(m_network, m_membership, m_replicas, m_settings.secrets.sessionKey)
    , m_exchange(m_network, m_peerService, m_membership, m_config, m_claims,
                 m_settings.timing.heartbeatPeriod, m_clock)
    , m_admission(m_backends, m_gatekeeper, m_network, m_membership, m_config,
                  static_cast<std::size_t>(m_settings.limits.waitingRequests), m_clock)
    , m_rater(m_ratings, m_stats, m_metrics, RatingQueueCapacity, m_clock)
    , m_planner(m_stats, m_suspects)
    , m_regressionMonitor(m_stats, m_suspects)
    , m_orderDispatcher(
          m_log, m_engine, m_weights, m_backends, m_config,
          OrderLease(m_settings.dataCentre, m_settings.instance, m_membership.startId()),
          Reconciler(m_settings.dataCentre), m_timeline, m_metrics, m_clock)
    , m_generations(m_engine, m_admission, m_backends, m_config, m_stats, m_retries, m_timeline,
                    m_metrics, m_clock)
    , m_services(m_plainService, m_admission, m_backends, m_config, m_retries, m_timeline,
                 m_metrics, m_clock)
    , m_pipeline(makeFilters(), m_timeline, m_metrics, m_clock)
    , m_frontEnd({m_settings, m_pipeline, m_config, m_membership, m_backends, m_billing, m_replicas,
                  m_claims, m_timeline, m_metrics, m_health, m_clock})
{
}

std::vector<std::unique_ptr<Filter>> Daemon::Private::makeFilters()
{
    std::vector<std::unique_ptr<Filter>> filters;
    filters.push_back(std::make_unique<AuthenticateFilter>(m_config));
    filters.push_back(std::make_unique<AdmitFilter>(m_billing, m_retries, m_health.stopping));
    filters.push_back(std::make_unique<DeduplicateFilter>(
        m_inFlight, m_replicas, m_claimProtocol, m_network, m_membership, m_timeline, m_clock));
    filters.push_back(std::make_unique<PinSessionFilter>(m_sessions, m_clock));
    filters.push_back(std::make_unique<PlanFilter>(m_planner, m_backends, m_sessions, m_rater,
                                                   m_timeline, m_clock));
    filters.push_back(std::make_unique<BillFilter>(m_billing, m_metrics, m_clock));
    filters.push_back(std::make_unique<DispatchFilter>(m_generations, m_services, m_rater,
                                                       m_suspects, m_metrics, m_timeline));
    return filters;
}

void Daemon::Private::addThread(const std::string &name, PeriodicThread::Step step)
{
    m_threads.push_back(std::make_unique<PeriodicThread>(name, std::move(step)));
}

Status Daemon::Private::start()
{
    if (const Status failure = m_network.start()) {
        return failure;
    }
    readInstanceList();
    addThread("configuration", [this] { return tailConfiguration(); });
    addThread("claims", [this] { return tailClaims(); });
    addThread("instance list", [this] { return readInstanceList(); });
    addThread("exchange", [this] { return m_exchange.step(); });
    addThread("billing", [this] {
        m_billing.flush(m_clock.now());
        return BillingPeriod;
    });
    addThread("orders", [this] { return m_orderDispatcher.step(); });
    addThread("rollouts", [this] { return stopRegressedVersions(); });
    addThread("maintenance", [this] { return maintain(); });
    m_poller = std::make_unique<BackendPoller>(m_backends, m_settings.dataCentre,
                                               m_settings.timing.pollPeriod, BackendConnectTimeout,
                                               m_clock);
    if (const Status failure = m_frontEnd.start()) {
        return failure;
    }
    Log.info("Listening for callers on " + m_settings.listen.text() + " and for peers on "
             + m_settings.peerListen.text() + ".");
    return std::nullopt;
}

Duration Daemon::Private::tailConfiguration()
{
    return m_configTail.step(m_clock.now(), LogReadWait) ? Duration(0) : TailRetryDelay;
}

Duration Daemon::Private::tailClaims()
{
    const auto slice =
        m_log.read(Streams::Claims, m_claims.nextOffset(), ClaimsPerRead, LogReadWait);
    if (!slice.ok()) {
        return TailRetryDelay;
    }
    m_claims.applySlice(slice.value(), m_clock.now());
    return Duration(0);
}

Duration Daemon::Private::readInstanceList()
{
    const auto instances = m_instanceList.read();
    if (instances.ok()) {
        m_backends.updateList(instances.value());
        for (const InstanceId &removed : m_membership.updateList(instances.value())) {
            m_stats.removePeer(removed);
            Log.info(removed.value() + " was removed from the instance list.");
        }
    }
    std::vector<std::pair<InstanceId, Endpoint>> addresses;
    for (const PeerInfo &peer : m_membership.peers()) {
        if (!peer.peerAddress.empty()) {
            addresses.emplace_back(peer.id, peer.peerAddress);
        }
    }
    m_network.setPeers(addresses);
    return m_settings.timing.instanceListPeriod;
}

Duration Daemon::Private::stopRegressedVersions()
{
    const ConfigStatePtr config = m_config.current();
    for (const VersionStopDecision &stop : m_regressionMonitor.findRegressions(*config)) {
        ConfigRecord record;
        record.type = ConfigRecordType::VersionStop;
        record.operation = OperationId("stop-" + stop.version.value() + "-"
                                       + std::to_string(config->manifestRevision.value()));
        record.subject = stop.version.value();
        record.text = stop.reason;
        record.author = m_settings.instance.value();
        // Takes effect here immediately, on peers with the next heartbeat, and later via the log.
        m_config.addProvisional(encodeConfigRecord(record));
        Log.warning("Stopped version " + stop.version.value() + ": " + stop.reason + ".");
        TimelineEvent event;
        event.kind = "version-stop";
        event.version = stop.version;
        event.detail = stop.reason;
        m_timeline.record(event);
    }
    return RegressionCheckPeriod;
}

Duration Daemon::Private::maintain()
{
    const TimePoint now = m_clock.now();
    m_claims.expire(now);
    m_replicas.expire(now);
    m_stats.decay(now);
    m_gatekeeper.updateAssignments(now);
    m_sessions.restoreReplication(now);
    m_billing.appendOrphanedBills(now);
    return MaintenancePeriod;
}

std::size_t Daemon::Private::stop()
{
    Log.info("Shutdown started. The instance reports not ready.");
    m_health.draining = true;
    std::this_thread::sleep_for(m_settings.timing.balancerLag);
    m_health.stopping = true;
    const TimePoint drainDeadline = m_clock.now() + m_settings.timing.drainTimeout;
    while (m_health.inFlight > 0 && m_clock.now() < drainDeadline) {
        std::this_thread::sleep_for(DrainPollPeriod);
    }
    m_frontEnd.stop();
    m_rater.stop();
    m_claimAppender.drain(ClaimDrainTimeout);
    const std::size_t singleCopyBills = m_billing.drain(m_settings.timing.drainTimeout);
    for (const auto &thread : m_threads) {
        thread->stop();
    }
    if (m_poller) {
        m_poller->stop();
    }
    m_claimAppender.stop();
    m_network.stop();
    Log.info("Shutdown is complete. Bills that no other process holds: "
             + std::to_string(singleCopyBills) + ".");
    return singleCopyBills;
}

Daemon::Daemon(Settings settings)
    : m_private(std::make_unique<Private>(std::move(settings)))
{
}

Daemon::~Daemon() = default;

Status Daemon::start()
{
    return m_private->start();
}

std::size_t Daemon::stop()
{
    return m_private->stop();
}

} // namespace lycheearch
