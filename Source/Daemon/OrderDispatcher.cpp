#include "Daemon/OrderDispatcher.h"

#include "Base/Logger.h"

namespace lycheearch {

namespace {
constexpr Duration StepPeriod = 500ms;
constexpr std::size_t RecordsPerRead = 1000;
const Logger Log("orders");
} // namespace

OrderDispatcher::OrderDispatcher(LogService &log, ModelEngine &engine, WeightStore &weights,
                                 BackendTable &backends, const ConfigStore &config,
                                 OrderLease lease, Reconciler reconciler, Timeline &timeline,
                                 Metrics &metrics, const Clock &clock)
    : m_log(log)
    , m_engine(engine)
    , m_weights(weights)
    , m_backends(backends)
    , m_config(config)
    , m_lease(std::move(lease))
    , m_reconciler(std::move(reconciler))
    , m_timeline(timeline)
    , m_metrics(metrics)
    , m_clock(clock)
{
}

bool OrderDispatcher::readLeaseStream()
{
    const auto slice = m_log.read(Streams::OrderLeases, m_nextOffset, RecordsPerRead, Duration(0));
    if (!slice.ok()) {
        return false;
    }
    for (const LogRecord &record : slice.value().records) {
        if (const auto lease = decodeLeaseRecord(record.data)) {
            m_lease.applyRecord(record.offset, *lease, m_clock.now());
        }
        m_nextOffset = record.offset.next();
    }
    return true;
}

Duration OrderDispatcher::step()
{
    if (!readLeaseStream()) {
        return StepPeriod;
    }
    if (const auto record = m_lease.recordToAppend(m_clock.now())) {
        m_log.append(Streams::OrderLeases, {encodeLeaseRecord(*record)});
        readLeaseStream();
    }
    const auto since = m_lease.heldSince();
    if (since && m_clock.now() - *since >= TakeoverDelay) {
        sendOrder();
    }
    return StepPeriod;
}

void OrderDispatcher::sendOrder()
{
    const auto step = m_reconciler.next(*m_config.current(), m_backends.views());
    if (!step) {
        return;
    }
    if (step->kind == OrderKind::Load && m_weights.reserveLoad(step->version)) {
        return; // The weight store refused the load or is unreachable; the next step tries again.
    }
    // Checked last, so that a process that was paused until its lease expired sends nothing.
    if (!m_lease.holds(m_clock.now())) {
        return;
    }
    const char *kind = step->kind == OrderKind::Load ? "load" : "unload";
    const Status failure =
        m_engine.order(step->address, {step->kind, step->version, m_lease.fencingToken()});
    m_metrics.count("lycheearch_orders_total",
                    std::string("kind=\"") + kind + "\",refused=\"" + (failure ? "true" : "false")
                        + "\"");
    TimelineEvent event;
    event.kind = "order";
    event.backend = step->engine;
    event.version = step->version;
    event.detail = std::string(kind) + (failure ? ": " + failure->message : "");
    m_timeline.record(event);
    Log.info(std::string("Sent order to ") + step->engine.value() + ": " + kind + " "
             + step->version.value() + (failure ? " (refused)." : "."));
}

} // namespace lycheearch
