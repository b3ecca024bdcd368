#pragma once

#include "Base/Metrics.h"
#include "OwnFormats/LogService.h"
#include "OwnFormats/ModelEngine.h"
#include "OwnFormats/WeightStore.h"
#include "Routing/OrderLease.h"
#include "Routing/Reconciler.h"
#include "State/ConfigStore.h"
#include "Timeline/Timeline.h"

namespace lycheearch {

/// Gives orders to the engines of the own data centre while this daemon holds its order lease.
class OrderDuty
{
public:
    /// A new holder waits for orders of its predecessor to take effect, for engines that do not
    /// check fencing numbers.
    static constexpr Duration HoldOff = 5s;

    OrderDuty(LogService &log, ModelEngine &engine, WeightStore &weights, BackendTable &backends,
              const ConfigStore &config, OrderLease lease, Reconciler reconciler,
              Timeline &timeline, Metrics &metrics, const Clock &clock);

    /// Folds the lease stream, renews, and sends at most one order. Returns the wait until the next
    /// step.
    Duration step();

private:
    bool readStream();
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
    Offset m_position;
};

} // namespace lycheearch
