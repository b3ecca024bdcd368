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
    void onConnected(TimePoint) override
    {
        m_owner.m_picker.onReached(m_server, m_begunAt);
        end();
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

ReachProber::ReachProber(EventLoop &loop, const FleetView &view, BackendPicker &picker)
    : m_loop(loop)
    , m_view(view)
    , m_picker(picker)
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
    std::erase_if(m_probes, [&](const std::shared_ptr<Probe> &probe) {
        if (probe->expired(now)) {
            probe->close();
            m_loop.defer([probe] {});
            return true;
        }
        return false;
    });
    const std::vector<ServiceId> services = m_picker.reach().cutOffServices();
    for (const ServiceId &service : services) {
        probe(service, now);
    }
    if (!services.empty() || !m_probes.empty()) {
        start();
    }
}

void ReachProber::probe(const ServiceId &service, TimePoint now)
{
    const auto server = m_picker.reach().nextProbe(service, m_picker.serversOf(service));
    const BackendState *state = server ? m_view.backend(*server) : nullptr;
    if (state == nullptr) {
        return;
    }
    std::error_code error;
    const int fd = connectTcp(state->report.address, error);
    if (fd >= 0) {
        m_probes.push_back(std::make_shared<Probe>(*this, *server, fd, now));
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
