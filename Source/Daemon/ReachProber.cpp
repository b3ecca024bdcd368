#include "Daemon/ReachProber.h"

#include "Net/Socket.h"

namespace lycheearch {

namespace {

/// A server that has not accepted the connection within this time is not reached.
constexpr Duration ConnectTimeout = 600ms;

} // namespace

/// One connection.
class ReachProber::Probe : public StreamSocketListener
{
public:
    Probe(ReachProber &owner, InstanceId server, int fd, TimePoint begunAt)
        : m_owner(owner)
        , m_server(std::move(server))
        , m_begunAt(begunAt)
        , m_socket(owner.m_loop, fd, StreamSocket::Start::Connecting, *this)
    {
    }

    bool expired(TimePoint now) const { return now - m_begunAt > ConnectTimeout; }
    void close() { m_socket.close(); }

private:
    void onConnected(TimePoint now) override
    {
        m_owner.m_picker.onReached(m_server, m_begunAt);
        end();
        m_owner.m_onReached(now);
    }
    void onBytes(std::string_view, TimePoint) override { }
    void onEnd(TimePoint) override { end(); }
    void onError(std::error_code, TimePoint) override { end(); }

    void end()
    {
        m_socket.close();
        m_owner.remove(*this);
    }

    ReachProber &m_owner;
    InstanceId m_server;
    TimePoint m_begunAt;
    StreamSocket m_socket;
};

ReachProber::ReachProber(EventLoop &loop, const FleetView &view, BackendPicker &picker,
                         ReachedCallback onReached)
    : m_loop(loop)
    , m_view(view)
    , m_picker(picker)
    , m_onReached(std::move(onReached))
{
}

ReachProber::~ReachProber()
{
    m_loop.cancel(m_timer);
}

void ReachProber::start()
{
    if (!m_timer.active()) {
        m_timer = m_loop.at(m_loop.now() + ServiceReach::ProbePeriod,
                            [this](TimePoint now) { step(now); });
    }
}

void ReachProber::step(TimePoint now)
{
    m_timer = TimerId();
    expire(now);
    const std::vector<ServiceId> services = m_picker.reach().cutOffServices();
    for (const ServiceId &service : services) {
        probe(service, now);
    }
    if (!services.empty() || !m_probes.empty()) {
        start();
    }
}

void ReachProber::expire(TimePoint now)
{
    std::erase_if(m_probes, [&](const std::shared_ptr<Probe> &probe) {
        if (probe->expired(now)) {
            probe->close();
            m_loop.defer([probe] {});
            return true;
        }
        return false;
    });
}

const BackendState *ReachProber::otherServer(const InstanceId &server)
{
    const BackendState *lost = m_view.backend(server);
    const BackendState *first = nullptr;
    const BackendState *next = nullptr;
    bool differs = false;
    for (const auto &[id, state] : m_view.backends()) {
        const bool otherService = lost == nullptr || state.report.service != lost->report.service;
        if (id == server || state.draining || (differs && !otherService)) {
            continue;
        }
        if (otherService && !differs) {
            differs = true;
            first = nullptr;
            next = nullptr;
        }
        first = first == nullptr ? &state : first;
        next = next == nullptr && id > m_lastOther ? &state : next;
    }
    return next == nullptr ? first : next;
}

void ReachProber::probeAnother(const InstanceId &server, TimePoint now)
{
    expire(now);
    const BackendState *other = m_probes.empty() ? otherServer(server) : nullptr;
    if (other == nullptr) {
        return;
    }
    m_lastOther = other->report.id;
    connect(other->report.id, now);
    start();
}

void ReachProber::probe(const ServiceId &service, TimePoint now)
{
    const auto server = m_picker.reach().nextProbe(service, m_picker.serversOf(service));
    if (server) {
        connect(*server, now);
    }
}

void ReachProber::connect(const InstanceId &server, TimePoint now)
{
    const BackendState *state = m_view.backend(server);
    if (state == nullptr) {
        return;
    }
    std::error_code error;
    const int fd = connectTcp(state->report.address, error);
    if (fd >= 0) {
        m_probes.push_back(std::make_shared<Probe>(*this, server, fd, now));
    }
}

void ReachProber::remove(const Probe &probe)
{
    std::erase_if(m_probes, [&](const std::shared_ptr<Probe> &other) {
        if (other.get() == &probe) {
            m_loop.defer([other] {});
            return true;
        }
        return false;
    });
}

} // namespace lycheearch
