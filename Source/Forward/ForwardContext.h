#pragma once

#include "Base/Metrics.h"
#include "Config/RouterSettings.h"
#include "Fleet/FleetView.h"
#include "Forward/AdmissionGate.h"
#include "Forward/BackendHttpConnectionPool.h"
#include "Forward/BodyBudget.h"
#include "Forward/CallerReaders.h"
#include "Forward/CallerRequests.h"
#include "Forward/RelayAdmission.h"
#include "Forward/RequestHeaderCodec.h"
#include "Log/StructuredLog.h"
#include "Net/ClientLimitObserver.h"
#include "Net/EventLoop.h"
#include "Routing/BackendPicker.h"
#include "Routing/CrashTable.h"
#include "Routing/Hedging.h"
#include "Routing/ModelCascade.h"
#include "Routing/PeerSelector.h"
#include "Routing/PendingCrashes.h"
#include "Routing/ReturnSchedule.h"
#include "Routing/RolloutCounts.h"
#include "Routing/ShutdownPolicy.h"
#include "Routing/WindowedRetryBudget.h"

namespace lycheearch {

/// State and services shared by all requests of a daemon.
struct ForwardContext
{
    EventLoop &loop;
    const FleetView &view;
    BackendPicker &picker;
    BackendHttpConnectionPool &connections;
    const RequestHeaderCodec &headerCodec;
    WindowedRetryBudget &retryBudget;
    RolloutCounts &rolloutCounts;
    ModelCascade &models;
    CrashTable &crashes;
    PendingCrashes &pendingCrashes;
    PeerSelector &peers;
    BackendHttpConnectionPool &peerConnections; ///< To other daemons.
    RelayAdmission &relayAdmission;
    ReturnSchedule &returnSchedule;
    const ShutdownPolicy &shutdownPolicy;
    const RouterBounds &bounds;
    CallerRequests &requests;
    BodyBudget &responseBudget;
    CallerReaders &readers;
    StructuredLog &log;
    Metrics &metrics;
    Hedging &hedging;
    ClientLimitObserver &limitObserver;
    AdmissionGate *admission = nullptr; ///< Null if admission is off.
};

} // namespace lycheearch
