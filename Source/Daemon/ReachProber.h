#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "Fleet/FleetView.h"
#include "Net/EventLoop.h"
#include "Net/StreamSocket.h"
#include "Routing/BackendPicker.h"

namespace lycheearch {

/// Finds out whether a service that this daemon is cut off from is reached again: opens a
/// connection to one of its servers after the other and closes it without a request. Also finds
/// out, after a connection was lost, whether this daemon's links work.
class ReachProber
{
public:
    /// Called when a server was reached.
    using ReachedCallback = std::function<void(TimePoint now)>;

    ReachProber(EventLoop &loop, const FleetView &view, BackendPicker &picker,
                ReachedCallback onReached);
    ~ReachProber();

    /// A service is cut off: starts to probe.
    void start();
    /// Tries to reach another server than \p server, of another service if there is one, unless
    /// such an attempt is under way.
    void probeAnother(const InstanceId &server, TimePoint now);

private:
    class Probe;

    void step(TimePoint now);
    void probe(const ServiceId &service, TimePoint now);
    /// Drops the probes that have taken too long.
    void expire(TimePoint now);
    void connect(const InstanceId &server, TimePoint now);
    /// Returns another server than \p server, or null.
    const BackendState *otherServer(const InstanceId &server);
    void remove(const Probe &probe);

    EventLoop &m_loop;
    const FleetView &m_view;
    BackendPicker &m_picker;
    ReachedCallback m_onReached;
    std::vector<std::shared_ptr<Probe>> m_probes;
    InstanceId m_lastOther; ///< Server that otherServer() returned last.
    TimerId m_timer;
};

} // namespace lycheearch
