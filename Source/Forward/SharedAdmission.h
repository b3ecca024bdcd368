#pragma once

#include <map>

#include "Base/Metrics.h"
#include "Config/RouterSettings.h"
#include "Fleet/FleetView.h"
#include "Forward/AdmissionGate.h"
#include "Log/StructuredLog.h"
#include "Net/EventLoop.h"
#include "Routing/AdmissionController.h"
#include "Routing/ModelCascade.h"
#include "Routing/ShutdownPolicy.h"

namespace lycheearch {

/// Admits the requests of a daemon by AdmissionController: makes the forecast, holds the waiting
/// requests, calls them in their order while there is room, and refuses them when their time has
/// passed or the daemon stops.
class SharedAdmission : public AdmissionGate
{
public:
    SharedAdmission(EventLoop &loop, const InstanceId &self, const FleetView &view,
                    const BackendPicker &picker, const ModelCascade &models,
                    const ShutdownPolicy &shutdownPolicy, const CapacitySettings &settings,
                    StructuredLog &log, Metrics &metrics);
    ~SharedAdmission() override;

    void applySettings(const CapacitySettings &settings);
    AdmissionAnswer ask(const AdmissionAsk &ask, AdmissionWaiter &waiter, TimePoint now) override;
    void leave(AdmissionWaiter &waiter) override;
    void onFirstEvent(const ServiceId &service, const std::string &route, Duration expected,
                      Duration took, TimePoint now) override;
    void onEnded(const ServiceId &service, SendOutcome outcome, Duration took,
                 TimePoint now) override;
    CapacityShares &shares() { return m_controller.shares(); }
    /// Requests that wait, and the bytes of their bodies.
    std::size_t waiting() { return m_controller.queue().size(); }
    std::size_t waitingBytes() { return m_controller.queue().bytes(); }

private:
    using Ticket = AdmissionQueue::Ticket;

    /// A request that waits.
    struct Waiting
    {
        AdmissionWaiter *waiter = nullptr;
        std::string id;
        AdmissionRequest request;
        TimePoint since;
    };

    ServiceForecast forecast(const AdmissionAsk &ask, TimePoint now);
    Ticket ticketOf(const AdmissionWaiter &waiter) const;
    void enter(Ticket ticket, const AdmissionAsk &ask, AdmissionWaiter &waiter, TimePoint now);
    /// Refuses a request that waits.
    void refuse(Ticket ticket, const char *cause, TimePoint now);
    /// Refuses requests that gave way to another one, when the present call has returned.
    void refuseLater(const std::vector<Ticket> &tickets);
    /// Calls those that wait, in their order.
    void step(TimePoint now);
    void callFirsts(TimePoint now);
    void scheduleStep(TimePoint now);
    void log(const char *event, const AdmissionAsk &ask, const ServiceForecast &forecast,
             const AdmissionDecision &decision, TimePoint now);

    EventLoop &m_loop;
    const FleetView &m_view;
    const BackendPicker &m_picker;
    const ModelCascade &m_models;
    const ShutdownPolicy &m_shutdownPolicy;
    StructuredLog &m_log;
    Metrics &m_metrics;
    AdmissionController m_controller;
    CapacityForecast m_forecast;
    std::map<ServiceId, double> m_occupancy; ///< Ratio at the latest forecast.
    std::map<Ticket, Waiting> m_waiting;
    std::map<const AdmissionWaiter *, Ticket> m_tickets;
    TimerId m_timer;
};

} // namespace lycheearch
