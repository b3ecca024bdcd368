#include "Daemon/LoadDuty.h"

#include <set>

namespace lycheearch {

namespace {

constexpr Duration TellPeriod = 200ms;
/// What another data centre told is used for this long.
constexpr Duration ToldLifetime = 1500ms;

} // namespace

LoadDuty::LoadDuty(EventLoop &loop, InstanceId self, DataCentreId home, const FleetView &view,
                   const FleetFollower &follower, FeedClient &client, BackendPicker &picker,
                   const Clock &clock)
    : m_loop(loop)
    , m_self(std::move(self))
    , m_home(std::move(home))
    , m_view(view)
    , m_follower(follower)
    , m_client(client)
    , m_picker(picker)
    , m_clock(clock)
{
}

LoadDuty::~LoadDuty()
{
    m_loop.cancel(m_timer);
}

void LoadDuty::start(FeedServer &server)
{
    m_server = &server;
    m_client.onLoad([this](const BackendLoads &total, TimePoint now) { onTotal(total, now); });
    step(m_loop.now());
}

void LoadDuty::onOtherDataCentre(const FeedLoad &load, TimePoint now)
{
    m_told[load.dataCentre] = {load.loads, now};
}

void LoadDuty::step(TimePoint now)
{
    m_timer = m_loop.at(now + TellPeriod, [this](TimePoint present) { step(present); });
    if (!m_follower.synced()) {
        return;
    }
    if (!m_follower.fed()) {
        addUp(now);
        return;
    }
    const BackendLoads own = m_picker.ownLoads(now);
    if ((own != m_lastTold) && m_client.sendLoad(own)) {
        m_lastTold = own;
    }
}

void LoadDuty::addUp(TimePoint now)
{
    BackendLoads home = m_server->followersLoads();
    BackendLoads others = home;
    addLoads(home, m_picker.ownLoads(now));
    tellOthers(home, now);
    for (const auto &[dataCentre, told] : m_told) {
        if (now - told.at < ToldLifetime) {
            addLoads(others, told.loads);
        }
    }
    BackendLoads total = others;
    addLoads(total, m_picker.ownLoads(now));
    m_server->broadcastLoad(total);
    m_picker.setOthersLoads(std::move(others), now);
}

void LoadDuty::tellOthers(const BackendLoads &loads, TimePoint now)
{
    const auto wall =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.wallTime().time_since_epoch())
            .count();
    std::set<DataCentreId> places;
    for (const auto &[id, member] : m_view.members()) {
        places.insert(member.dataCentre);
    }
    places.erase(m_home);
    for (const DataCentreId &place : places) {
        std::unique_ptr<LoadSender> &sender = m_senders[place];
        if (!sender) {
            sender = std::make_unique<LoadSender>(m_loop, m_home, place);
        }
        sender->send(loads, feedOrder(m_view.members(), place, wall), now);
    }
}

void LoadDuty::onTotal(const BackendLoads &total, TimePoint now)
{
    BackendLoads others = total;
    subtractLoads(others, m_lastTold);
    m_picker.setOthersLoads(std::move(others), now);
}

} // namespace lycheearch
