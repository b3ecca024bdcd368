#pragma once

#include <functional>

#include "Config/RouterSettings.h"
#include "Routing/HedgeBudget.h"
#include "Routing/LatencyTracker.h"
#include "Routing/UnansweredMoves.h"
#include "Routing/WindowedRetryBudget.h"

namespace lycheearch {

/// State of one daemon for late requests: whether they may be sent to a second server, what is
/// usual, and how many may be sent. Off unless the operator set a share and the servers of the
/// service report how slow their hosts are.
class Hedging
{
public:
    using ServicePredicate = std::function<bool(const ServiceId &service)>;

    Hedging(const InstanceId &self, WindowedRetryBudget &retries);

    void setSettings(const HedgeSettings &settings);
    /// Sets what tells whether servers of a service report how slow their hosts are.
    void setServersShareHosts(ServicePredicate predicate)
    {
        m_serversShareHosts = std::move(predicate);
    }
    /// Whether late requests of the service may be sent to a second server.
    bool enabled(const ServiceId &service) const;

    /// Records a request of a caller.
    void onRequest(const ServiceId &service, TimePoint now);
    /// Whether the limits allow one more extra request.
    bool allows(const ServiceId &service, TimePoint now);
    /// What is left of the hedge budget, in requests.
    double left(const ServiceId &service, TimePoint now) { return m_budget.left(service, now); }
    /// Takes one extra request from the hedge budget and from the retry budget, of which
    /// HedgeSettings::reserveShare stays for retries. Returns false if either has none left.
    bool tryWithdraw(const ServiceId &service, TimePoint now);

    LatencyTracker &latencies() { return m_latencies; }
    UnansweredMoves &unansweredMoves() { return m_unansweredMoves; }
    const UnansweredMoves &unansweredMoves() const { return m_unansweredMoves; }

private:
    WindowedRetryBudget &m_retries;
    HedgeSettings m_settings;
    ServicePredicate m_serversShareHosts;
    HedgeBudget m_budget;
    LatencyTracker m_latencies;
    UnansweredMoves m_unansweredMoves;
};

} // namespace lycheearch
