#include "Daemon/LoadDuty.h"

#include <set>

namespace lycheearch {

namespace {

constexpr Duration TellPeriod = 200ms;
/// The load report of another data centre expires after this time.
constexpr Duration ToldLifetime = 1500ms;
/// Bound of the queue of prompt locations for the followers. Reports beyond it are dropped; their
/// senders repeat the locations later.
constexpr std::size_t MostPlacesToPass = 16384;

} // namespace

LoadDuty::LoadDuty(EventLoop &loop, DataCentreId home, const FleetView &view,
                   const FleetFollower &follower, FeedClient &client, BackendPicker &picker,
                   const Clock &clock)
    : m_loop(loop)
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
    m_client.onLoad([this](const FeedLoad &total, TimePoint now) { onTotal(total, now); });
    step(m_loop.now());
}

void LoadDuty::onOtherDataCentre(const FeedLoad &load, TimePoint now)
{
    m_told[load.dataCentre] = {load.loads, now};
    m_picker.promptPlaces().noteTold(load.places, now);
    const std::size_t size = m_placesToPass.size() + load.places.size();
    if (!m_follower.fed() && size <= MostPlacesToPass) {
        m_placesToPass.insert(m_placesToPass.end(), load.places.begin(), load.places.end());
    }
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
    m_placesToPass.clear();
    FeedLoad own{DataCentreId(), m_picker.ownLoads(now), m_picker.promptPlaces().takeNews()};
    if ((own.loads != m_lastTold || !own.places.empty()) && m_client.sendLoad(own)) {
        m_lastTold = std::move(own.loads);
    }
}

void LoadDuty::addUp(TimePoint now)
{
    const BackendLoads own = m_picker.ownLoads(now);
    BackendLoads others = m_server->followersLoads();
    FeedLoad home{m_home, others, m_server->takePlaces()};
    addLoads(home.loads, own);
    m_picker.promptPlaces().noteTold(home.places, now);
    const std::vector<PromptPlace> news = m_picker.promptPlaces().takeNews();
    home.places.insert(home.places.end(), news.begin(), news.end());
    tellOthers(home, now);
    for (const auto &[dataCentre, told] : m_told) {
        if (now - told.at < ToldLifetime) {
            addLoads(others, told.loads);
        }
    }
    FeedLoad total{DataCentreId(), others, std::move(home.places)};
    addLoads(total.loads, own);
    total.places.insert(total.places.end(), m_placesToPass.begin(), m_placesToPass.end());
    m_placesToPass.clear();
    m_server->broadcastLoad(total);
    m_picker.setOthersLoads(std::move(others), now);
}

void LoadDuty::tellOthers(const FeedLoad &load, TimePoint now)
{
    const std::int64_t wall = wallMilliseconds(m_clock);
    std::set<DataCentreId> places;
    for (const auto &[id, member] : m_view.members()) {
        places.insert(member.dataCentre);
    }
    places.erase(m_home);
    for (const DataCentreId &place : places) {
        std::unique_ptr<LoadSender> &sender = m_senders[place];
        if (!sender) {
            sender = std::make_unique<LoadSender>(m_loop);
        }
        sender->send(load, feedOrder(m_view.members(), place, wall), now);
    }
}

void LoadDuty::onTotal(const FeedLoad &total, TimePoint now)
{
    BackendLoads others = total.loads;
    subtractLoads(others, m_lastTold);
    m_picker.setOthersLoads(std::move(others), now);
    m_picker.promptPlaces().noteTold(total.places, now);
}

} // namespace lycheearch
