#pragma once

#include "Base/Metrics.h"
#include "Config/RouterSettings.h"
#include "Fleet/FleetView.h"
#include "Forward/BackendLinkPool.h"
#include "Forward/BodyBudget.h"
#include "Forward/RequestDialect.h"
#include "Log/DecisionLog.h"
#include "Net/EventLoop.h"
#include "Routing/BackendPicker.h"
#include "Routing/ModelCascade.h"
#include "Routing/RetryAllowance.h"
#include "Routing/RolloutCounts.h"
#include "Routing/StopPolicy.h"

namespace lycheearch {

/// State and services shared by all requests of a daemon.
struct ForwardContext
{
    EventLoop &loop;
    const FleetView &view;
    BackendPicker &picker;
    BackendLinkPool &links;
    const RequestDialect &dialect;
    RetryAllowance &retries;
    RolloutCounts &rollouts;
    ModelCascade &models;
    const StopPolicy &stop;
    const RouterBounds &bounds;
    BodyBudget &bodies;
    DecisionLog &log;
    Metrics &metrics;
};

} // namespace lycheearch
