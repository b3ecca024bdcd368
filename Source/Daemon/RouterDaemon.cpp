#include "Daemon/RouterDaemon.h"
#include "Feed/FeedOrder.h"
#include "Net/HttpStatus.h"

#include <algorithm>
#include <csignal>

#include <unistd.h>

namespace lycheearch {

namespace {

constexpr BackendHttpConnection::Limits ConnectionLimits{
    250ms, {64UL * 1024, 16UL * 1024 * 1024}, {1s, 1s, 2, 2500ms}};
/// Daemons of a new deployment register within this time of each other.
constexpr Duration MemberReadDelay = 500ms;
constexpr Duration SweepPeriod = 1s;
/// During shutdown, idle connections stay open for this time, so that callers can receive
/// "Connection: close" with their next response.
constexpr Duration IdleCloseDelay = 3s;
constexpr Duration DrainCheckPeriod = 100ms;
/// During shutdown, the listening socket stays open for this time, so that the load balancer
/// detects that the instance is not ready before connections are refused.
constexpr Duration StopListeningDelay = 3500ms;
std::string listenError(const char *what, const Endpoint &endpoint, const std::error_code &error)
{
    return std::string(what) + " " + endpoint.text() + ": " + error.message();
}

} // namespace

RouterDaemon::RouterDaemon(RouterSettings settings, SettingsLoader settingsLoader,
                           const StoreFactory &makeStore, const RecordCodec &codec,
                           const RequestHeaderCodec &headerCodec)
    : m_settings(std::move(settings))
    , m_settingsLoader(std::move(settingsLoader))
    , m_loop(m_clock)
    , m_log(m_settings.instance.value(), STDOUT_FILENO, m_settings.routineLogLines, m_clock)
    , m_store(makeStore(m_loop, m_settings))
    , m_codec(codec)
    , m_follower(m_loop, *m_store, codec, m_view, *this, followerTiming(m_settings.bounds))
    , m_picker(m_settings.instance, m_settings.dataCentre)
    , m_connections(m_loop, ConnectionLimits)
    , m_peerConnections(m_loop, ConnectionLimits)
    , m_peers(m_settings.instance, m_settings.dataCentre)
    , m_reachProber(m_loop, m_view, m_picker,
                    [this](TimePoint now) { m_pendingCrashes.settle(now); })
    , m_retries(FleetLimits::retryBounds(m_settings.bounds, 0), m_clock.now())
    , m_fleetLimits(m_view, m_settings.instance, m_settings.bounds, m_picker, m_retries, m_clock)
    , m_pendingCrashes(m_crashes, m_picker.reach())
    , m_clientMemory(clientMemory(m_settings.memoryMegabytes))
    , m_portLimits(
          portLimits(descriptorLimit(m_settings.maxDescriptors), m_settings.memoryMegabytes))
    , m_headBudget(m_clientMemory.requestHeads)
    , m_bodyBudget(m_clientMemory.requestBodies)
    , m_responseBudget(m_clientMemory.responses)
    , m_callerRequests(m_headBudget, m_bodyBudget)
    , m_readers(m_loop, m_responseBudget)
    , m_hedging(m_settings.instance, m_retries)
    , m_admission(m_settings.traits.scarceCapacity && m_settings.capacity.admission
                      ? std::make_unique<SharedAdmission>(
                          m_loop, m_settings.instance, m_view, m_picker, m_modelCascade,
                          m_shutdownPolicy, m_settings.capacity, m_log, m_metrics)
                      : nullptr)
    , m_context{m_loop,
                m_view,
                m_picker,
                m_connections,
                headerCodec,
                m_retries,
                m_rolloutCounts,
                m_modelCascade,
                m_crashes,
                m_pendingCrashes,
                m_peers,
                m_peerConnections,
                m_relayAdmission,
                m_returnSchedule,
                m_shutdownPolicy,
                m_settings.bounds,
                m_callerRequests,
                m_responseBudget,
                m_readers,
                m_log,
                m_metrics,
                m_hedging,
                *this,
                m_admission.get()}
    , m_feedClient(m_loop, m_settings.instance, m_settings.dataCentre, m_view, m_follower, m_clock,
                   [this](const InstanceId &source, const char *why) { onFeedChange(source, why); })
    , m_rolloutAgent(m_loop, m_settings.instance, *m_store, codec, m_view, m_follower, m_feedClient,
                     m_rolloutCounts,
                     {m_settings.bounds.maxUnprovenShare, m_settings.bounds.unprovenSlack}, m_log)
    , m_loadExchange(m_loop, m_settings.instance, m_settings.dataCentre, m_view, m_follower,
                     m_feedClient, m_picker, m_peers, m_crashes, m_pendingCrashes, m_clock)
    , m_crashVerdicts(m_loop, *m_store, codec, m_follower, m_crashes, m_log, m_clock)
    , m_registration(m_loop, *m_store, codec, m_clock,
                     {m_settings.instance, m_settings.dataCentre, m_settings.feedListen, 0,
                      m_settings.relayListen},
                     [this](TimePoint now) { scheduleMemberRead(now); })
    , m_signals(m_loop, [this](int signal, TimePoint now) { onSignal(signal, now); })
{
    m_loop.setObserver(this);
    m_hedging.setSettings(m_settings.hedging);
    m_hedging.setServersShareHosts(
        [this](const ServiceId &service) { return m_picker.speedsUsedFor(service, m_loop.now()); });
    m_picker.reach().onChange([this](const ServiceId &service, bool reached) {
        onReachChanged(service, reached, m_loop.now());
    });
    m_pendingCrashes.onUndecided(
        [this](const InstanceId &server) { m_reachProber.probeAnother(server, m_loop.now()); });
}

RouterDaemon::~RouterDaemon() = default;

std::string RouterDaemon::start()
{
    std::error_code error;
    m_callerServer = std::make_unique<CallerServer>(m_context, RequestOrigin::Caller,
                                                    m_settings.listen, m_portLimits.callers, error);
    if (error) {
        return listenError("listen", m_settings.listen, error);
    }
    if (m_settings.relayListen) {
        m_relayServer = std::make_unique<CallerServer>(
            m_context, RequestOrigin::Daemon, *m_settings.relayListen, m_portLimits.relay, error);
        if (error) {
            return listenError("relay_listen", *m_settings.relayListen, error);
        }
    }
    const std::string feedError = startFeed();
    return feedError.empty() ? startPages() : feedError;
}

std::string RouterDaemon::startFeed()
{
    std::error_code error;
    ClientLimitObserver &observer = *this;
    m_feedServer = std::make_unique<FeedServer>(
        m_loop, m_settings.feedListen, m_follower,
        [this](const FeedEvidence &evidence) { m_rolloutAgent.addFollowerEvidence(evidence); },
        [this](const FeedLoad &load, TimePoint now) { m_loadExchange.onRemoteLoad(load, now); },
        FeedLimits{m_portLimits.feed, m_clientMemory.feed}, observer, error);
    return error ? listenError("feed_listen", m_settings.feedListen, error) : std::string();
}

std::string RouterDaemon::startPages()
{
    std::error_code error;
    ClientLimitObserver &observer = *this;
    m_readinessServer = std::make_unique<HttpResponder>(
        m_loop, PagePort{"readiness", m_settings.readinessListen, m_portLimits.pages},
        [this](const HttpRequestHead &, TimePoint now) { return readiness(now); }, observer, error);
    if (error) {
        return listenError("readiness_listen", m_settings.readinessListen, error);
    }
    m_metricsServer = std::make_unique<HttpResponder>(
        m_loop, PagePort{"metrics", m_settings.metricsListen, m_portLimits.pages},
        [this](const HttpRequestHead &, TimePoint now) { return metricsPage(now); }, observer,
        error);
    return error ? listenError("metrics_listen", m_settings.metricsListen, error) : std::string();
}

void RouterDaemon::run()
{
    std::signal(SIGPIPE, SIG_IGN);
    m_signals.handle(SIGTERM);
    m_signals.handle(SIGINT);
    m_signals.handle(SIGHUP);
    m_log.write(LogPriority::Notable,
                LogLine("process.start")
                    .add("data_centre", m_settings.dataCentre.value())
                    .add("listen", m_settings.listen.text())
                    .add("store", m_settings.store.text()),
                m_loop.now());
    m_follower.start();
    m_feedClient.start();
    m_rolloutAgent.start();
    if (m_admission) {
        m_loadExchange.setShares(m_admission->shares());
    }
    m_loadExchange.start(*m_feedServer);
    m_crashVerdicts.start();
    m_registration.start();
    sweep(m_loop.now());
    m_loop.run();
    m_log.write(LogPriority::Notable, LogLine("process.stop"), m_loop.now());
}

void RouterDaemon::scheduleMemberRead(TimePoint now)
{
    if (m_memberReadScheduled) {
        return;
    }
    m_memberReadScheduled = true;
    m_loop.at(now + MemberReadDelay, [this](TimePoint) { m_follower.pollNow(Topic::Own); });
}

void RouterDaemon::onFeedChange(const InstanceId &source, const char *why)
{
    m_log.write(LogPriority::Notable,
                LogLine(source.empty() ? "feed.lost" : "feed.followed")
                    .add("source", source.value())
                    .add("why", why),
                m_loop.now());
}

void RouterDaemon::onPageRead(Topic topic, const RecordPage &page, bool listing, TimePoint)
{
    m_feedServer->broadcast(topic, page, listing);
}

void RouterDaemon::onLongTurn(const char *duty, Duration duration, TimePoint now)
{
    m_metrics.count("lycheearch_long_turns_total", std::string("duty=\"") + duty + "\"");
    m_metrics.observe("lycheearch_long_turn_seconds", "", duration);
    m_log.write(LogPriority::Notable,
                LogLine("loop.long_turn").add("duty", duty).add("took_ms", duration), now);
}

void RouterDaemon::onLateTimers(Duration lateness, TimePoint now)
{
    m_metrics.count("lycheearch_late_timers_total", "");
    m_log.write(LogPriority::Notable, LogLine("loop.late").add("late_ms", lateness), now);
}

void RouterDaemon::onClientLimit(const char *port, const char *why, TimePoint now)
{
    m_metrics.count("lycheearch_client_limits_total",
                    std::string("port=\"") + port + "\",why=\"" + why + "\"");
    m_log.write(LogPriority::Client, LogLine("client.limit").add("port", port).add("why", why),
                now);
}

void RouterDaemon::onSignal(int signal, TimePoint now)
{
    if (signal == SIGHUP) {
        reloadSettings(now);
    } else {
        beginDrain(now);
    }
}

void RouterDaemon::reloadSettings(TimePoint now)
{
    Findings findings;
    const RouterSettings newSettings = m_settingsLoader(findings);
    if (!findings.empty()) {
        m_log.write(LogPriority::Notable,
                    LogLine("settings.rejected").add("findings", findings.text()), now);
        return;
    }
    const bool restartNeeded = newSettings.listen != m_settings.listen
        || newSettings.relayListen != m_settings.relayListen
        || newSettings.readinessListen != m_settings.readinessListen
        || newSettings.metricsListen != m_settings.metricsListen
        || newSettings.store != m_settings.store || newSettings.instance != m_settings.instance
        || newSettings.dataCentre != m_settings.dataCentre
        || newSettings.memoryMegabytes != m_settings.memoryMegabytes
        || newSettings.maxDescriptors != m_settings.maxDescriptors
        || (newSettings.traits.scarceCapacity && newSettings.capacity.admission)
            != (m_admission != nullptr);
    m_settings.bounds = newSettings.bounds;
    m_settings.hedging = newSettings.hedging;
    m_hedging.setSettings(m_settings.hedging);
    m_settings.capacity = newSettings.capacity;
    if (m_admission) {
        m_admission->applySettings(m_settings.capacity);
    }
    divideLimits(now);
    m_log.write(LogPriority::Notable,
                LogLine("settings.reloaded").add("restart_needed", restartNeeded ? "yes" : "no"),
                now);
}

void RouterDaemon::beginDrain(TimePoint now)
{
    if (m_shutdownPolicy.stopping()) {
        return;
    }
    m_shutdownPolicy.begin(m_settings.bounds.gracePeriod, now);
    m_callerServer->drain(now);
    if (m_relayServer) {
        m_relayServer->drain(now);
    }
    m_log.write(LogPriority::Notable,
                LogLine("process.draining")
                    .add("connections", static_cast<std::int64_t>(m_callerServer->connections()))
                    .add("grace_ms", m_settings.bounds.gracePeriod),
                now);
    checkDrained(now);
}

void RouterDaemon::checkDrained(TimePoint now)
{
    const Duration elapsed = m_shutdownPolicy.elapsed(now);
    for (CallerServer *server : {m_callerServer.get(), m_relayServer.get()}) {
        if (server != nullptr && elapsed >= IdleCloseDelay) {
            server->closeIdle(now);
        }
        if (server != nullptr && elapsed >= StopListeningDelay) {
            server->stopListening();
        }
    }
    if (m_shutdownPolicy.mustTerminate(now)) {
        m_callerServer->stopListening();
        m_callerServer->terminateAll(now);
        if (m_relayServer) {
            m_relayServer->stopListening();
            m_relayServer->terminateAll(now);
        }
    }
    const bool drained = callerConnections() == 0 && elapsed >= StopListeningDelay;
    if (drained || m_shutdownPolicy.mustExit(now)) {
        m_loop.stop();
        return;
    }
    m_loop.at(
        now + DrainCheckPeriod, [this](TimePoint currentTime) { checkDrained(currentTime); },
        "drain");
}

void RouterDaemon::sweep(TimePoint now)
{
    m_connections.sweep(now, [this](const InstanceId &id) {
        const BackendState *state = m_view.backend(id);
        return state != nullptr && !state->draining;
    });
    m_peerConnections.sweep(now,
                            [this](const InstanceId &id) { return m_view.members().contains(id); });
    m_picker.prune(m_view, now);
    divideLimits(now);
    updatePeers();
    m_loop.at(
        now + SweepPeriod, [this](TimePoint currentTime) { sweep(currentTime); }, "sweep");
}

void RouterDaemon::divideLimits(TimePoint now)
{
    const double slackBefore = m_retries.bounds().slack;
    m_fleetLimits.divide();
    if (m_retries.bounds().slack != slackBefore) {
        m_log.write(LogPriority::Notable,
                    LogLine("limits.divided")
                        .add("members", static_cast<std::int64_t>(m_view.members().size()))
                        .add("retry_slack", m_retries.bounds().slack),
                    now);
    }
}

void RouterDaemon::divideLimitsSoon()
{
    if (m_divisionDeferred) {
        return;
    }
    m_divisionDeferred = true;
    m_loop.defer([this] {
        m_divisionDeferred = false;
        divideLimits(m_loop.now());
    });
}

void RouterDaemon::updatePeers()
{
    const std::int64_t wallMs = wallMilliseconds(m_clock);
    std::vector<MemberRegistered> members;
    for (const auto &[id, member] : m_view.members()) {
        if (memberIsCurrent(member, wallMs)) {
            members.push_back(member);
        }
    }
    m_peers.setMembers(std::move(members));
}

void RouterDaemon::onReachChanged(const ServiceId &service, bool reached, TimePoint now)
{
    m_log.write(LogPriority::Notable,
                LogLine(reached ? "reach.regained" : "reach.lost").add("service", service.value()),
                now);
    if (!reached) {
        m_reachProber.start();
    }
}

std::size_t RouterDaemon::callerConnections() const
{
    return m_callerServer->connections() + (m_relayServer ? m_relayServer->connections() : 0);
}

CompleteHttpResponse RouterDaemon::readiness(TimePoint now)
{
    const bool ready = m_follower.synced() && !m_shutdownPolicy.stopping();
    if (ready != m_wasReady) {
        m_wasReady = ready;
        m_log.write(LogPriority::Notable,
                    LogLine("process.ready").add("ready", ready ? "yes" : "no"), now);
    }
    return {
        ready ? HttpStatus::Ok : HttpStatus::Unavailable, {}, ready ? "ready\n" : "not ready\n"};
}

CompleteHttpResponse RouterDaemon::metricsPage(TimePoint)
{
    CompleteHttpResponse response{HttpStatus::Ok, {}, m_metrics.text()};
    response.fields.add("Content-Type", "text/plain; version=0.0.4");
    response.body += "# TYPE lycheearch_backend_connections_opened_total counter\n"
                     "lycheearch_backend_connections_opened_total "
        + std::to_string(m_connections.openedConnections()) + "\n"
        + "# TYPE lycheearch_log_lines_left_out_total counter\n"
          "lycheearch_log_lines_left_out_total "
        + std::to_string(m_log.droppedLines()) + "\n";
    response.body += m_readers.metricsText() + m_callerRequests.metricsText();
    if (m_admission) {
        response.body += "# TYPE lycheearch_admission_waiting gauge\n"
                         "lycheearch_admission_waiting "
            + std::to_string(m_admission->waiting()) + "\n"
            + "# TYPE lycheearch_admission_waiting_bytes gauge\n"
              "lycheearch_admission_waiting_bytes "
            + std::to_string(m_admission->waitingBytes()) + "\n";
    }
    return response;
}

void RouterDaemon::applyConfig(Offset offset, TimePoint now)
{
    const auto table = m_view.table();
    divideLimits(now);
    m_log.write(LogPriority::Notable,
                LogLine("config.applied")
                    .add("version", table->version().value())
                    .add("offset", offset.value())
                    .add("newer_records", m_follower.recordsAfter(Topic::Operator, offset))
                    .add("source", m_feedClient.source().value())
                    .add("routes", static_cast<std::int64_t>(table->config().routes.size()))
                    .add("accounts", static_cast<std::int64_t>(table->config().accounts.size())),
                now);
}

void RouterDaemon::onRecord(ViewChange change, const StoredRecord &stored, TimePoint now)
{
    switch (change) {
    case ViewChange::Config:
        applyConfig(stored.offset, now);
        break;
    case ViewChange::Backend: {
        const BackendEntry &report = std::get<BackendReported>(stored.record).report;
        const BackendState *state = m_view.backend(report.id);
        m_log.write(LogPriority::Notable,
                    LogLine("backend.seen")
                        .add("backend", report.id.value())
                        .add("service", report.service.value())
                        .add("address", report.address.text())
                        .add("data_centre", report.dataCentre.value())
                        .add("version", report.version.value())
                        .add("draining", state->draining ? "yes" : "no")
                        .add("cold_ms", report.coldFor)
                        .add("offset", stored.offset.value()),
                    now);
        break;
    }
    case ViewChange::BackendRemoval:
        onBackendRemoved(std::get<BackendRemoved>(stored.record).id, "removed", now);
        break;
    case ViewChange::Evacuation: {
        const auto &evacuation = std::get<EvacuationChanged>(stored.record);
        m_log.write(LogPriority::Notable,
                    LogLine("data_centre.evacuation")
                        .add("data_centre", evacuation.dataCentre.value())
                        .add("evacuated", evacuation.evacuated ? "yes" : "no"),
                    now);
        break;
    }
    case ViewChange::Rollout:
        m_log.write(LogPriority::Notable,
                    LogLine("rollout.record").add("offset", stored.offset.value()), now);
        break;
    case ViewChange::Member:
        m_log.write(LogPriority::Notable,
                    LogLine("member.seen")
                        .add("member", std::get<MemberRegistered>(stored.record).instance.value()),
                    now);
        divideLimitsSoon();
        break;
    case ViewChange::PromptPart:
        m_crashVerdicts.onRecord(std::get<PromptPartCondemned>(stored.record), now);
        break;
    case ViewChange::Unreadable: {
        const auto &record = std::get<UnreadableRecord>(stored.record);
        m_log.write(LogPriority::Notable,
                    LogLine("record.unreadable")
                        .add("key", record.key)
                        .add("offset", stored.offset.value())
                        .add("reason", record.reason),
                    now);
        break;
    }
    case ViewChange::None:
    case ViewChange::Stale:
        break;
    }
}

void RouterDaemon::onBackendRemoved(const InstanceId &id, const char *reason, TimePoint now)
{
    m_log.write(LogPriority::Notable,
                LogLine("backend.gone").add("backend", id.value()).add("reason", reason), now);
}

void RouterDaemon::onStoreLost(Topic topic, StoreFault fault, const std::string &detail,
                               TimePoint now)
{
    m_log.write(LogPriority::Notable,
                LogLine("store.lost")
                    .add("topic", topicName(topic))
                    .add("fault", storeFaultName(fault))
                    .add("detail", detail),
                now);
}

void RouterDaemon::onStoreEra(StoreEra previous, StoreEra era, TimePoint now)
{
    m_log.write(LogPriority::Notable,
                LogLine("store.era").add("previous", previous.value()).add("era", era.value()),
                now);
    m_crashVerdicts.onStoreEra();
    m_registration.onStoreEra(now);
}

void RouterDaemon::onStoreRegained(Topic topic, Duration lostFor, TimePoint now)
{
    m_registration.onStoreRegained(now);
    m_log.write(LogPriority::Notable,
                LogLine("store.regained").add("topic", topicName(topic)).add("lost_ms", lostFor),
                now);
}

} // namespace lycheearch
