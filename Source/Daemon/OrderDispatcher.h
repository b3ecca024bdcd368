#pragma once

#include "Adapters/LogService.h"
#include "Adapters/ModelEngine.h"
#include "Adapters/WeightStore.h"
#include "Base/Metrics.h"
#include "Routing/OrderLease.h"
#include "Routing/Reconciler.h"
#include "State/ConfigStore.h"
#include "Timeline/Timeline.h"

namespace lycheearch {

/// Sends load and unload orders to the engines of this data centre while this daemon holds the
/// order lease, so that only one daemon sends orders at a time. Engines that check the fencing
/// token of the lease reject late orders of an earlier holder. If the holder fails, another daemon
/// takes over the lease.
class OrderDispatcher
{
public:
    /// Delay between acquiring the lease and the first order, in which orders of the previous
    /// holder take effect. This protects engines that don't check fencing tokens.
    static constexpr Duration TakeoverDelay = 5s;

    OrderDispatcher(LogService &log, ModelEngine &engine, WeightStore &weights,
                    BackendTable &backends, const ConfigStore &config, OrderLease lease,
                    Reconciler reconciler, Timeline &timeline, Metrics &metrics,
                    const Clock &clock);

    /// Reads the lease stream, acquires or renews the lease if it is due, and sends at most one
    /// order. Returns the delay until the next step.
    Duration step();

private:
    /// Applies new lease records. Returns false if the log can't be read.
    bool readLeaseStream();
    void sendOrder();

    LogService &m_log;
    ModelEngine &m_engine;
    WeightStore &m_weights;
    BackendTable &m_backends;
    const ConfigStore &m_config;
    OrderLease m_lease;
    Reconciler m_reconciler;
    Timeline &m_timeline;
    Metrics &m_metrics;
    const Clock &m_clock;
    Offset m_nextOffset; ///< Of the next lease record to read.
};

} // namespace lycheearch
