#pragma once

#include <memory>
#include <vector>

#include "Fleet/FleetView.h"
#include "Net/EventLoop.h"
#include "Net/StreamSocket.h"
#include "Routing/BackendPicker.h"

namespace lycheearch {

/// Finds out whether a service that this daemon is cut off from is reached again: opens a
/// connection to one of its servers after the other and closes it without a request. Does nothing
/// while all services are reached.
class ReachProber
{
public:
    ReachProber(EventLoop &loop, const FleetView &view, BackendPicker &picker);
    ~ReachProber();

    /// A service is cut off: starts to probe.
    void start();

private:
    class Probe;

    void step(TimePoint now);
    void probe(const ServiceId &service, TimePoint now);
    void remove(const Probe &probe);

    EventLoop &m_loop;
    const FleetView &m_view;
    BackendPicker &m_picker;
    std::vector<std::shared_ptr<Probe>> m_probes;
    TimerId m_timer;
};

} // namespace lycheearch
