#include "Feed/FeedClient.h"

#include "Feed/FeedTiming.h"

namespace lycheearch {

namespace {

constexpr Duration CheckPeriod = 150ms;
/// Number of checks by which this daemon must have switched to another source before it reads the
/// store itself. Checks are counted, not time: a delay of this daemon leaves no time for attempts.
constexpr int SwitchChecks = 3;

} // namespace

FeedClient::FeedClient(EventLoop &loop, InstanceId self, DataCentreId dataCentre,
                       const FleetView &view, FleetFollower &follower, const Clock &clock,
                       SourceChangeCallback onSourceChange)
    : m_loop(loop)
    , m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_view(view)
    , m_follower(follower)
    , m_clock(clock)
    , m_selector(m_self, m_dataCentre)
    , m_onSourceChange(std::move(onSourceChange))
{
}

FeedClient::~FeedClient()
{
    m_loop.cancel(m_timer);
}

void FeedClient::start()
{
    updateSource(m_loop.now());
}

void FeedClient::updateSource(TimePoint now)
{
    m_timer = m_loop.at(now + CheckPeriod, [this](TimePoint present) { updateSource(present); });
    if (m_socket && now - m_lastReceivedAt > FeedReceiveTimeout) {
        dropSource("silent", now);
        m_switchChecksLeft = 0;
        setFollowingFeed(false, "silent");
    }
    checkSwitchGrace();
    if (!m_follower.synced()) {
        return;
    }
    const bool viewStale = viewIsStale(now);
    const bool storeRegained = m_viewWasStale && !viewStale && !m_follower.followingFeed();
    m_viewWasStale = viewStale;
    if (storeRegained) {
        m_selector.onStoreRegained();
    }
    if (m_substitute && !viewStale) {
        dropSource("the store answers again", now);
    }
    chooseSource(now);
    // While no source can be reached, this daemon is not a backup: no other daemon reads for it.
    m_follower.setBackupReader(m_socket != nullptr && !m_substitute);
}

bool FeedClient::viewIsStale(TimePoint now) const
{
    const std::optional<Duration> staleness = m_follower.storeStaleness(now);
    return m_follower.storeLost() && staleness && *staleness > FeedStalenessLimit;
}

void FeedClient::chooseSource(TimePoint now)
{
    const auto choice = m_selector.choose(m_view.members(), m_source, viewIsStale(now),
                                          wallMilliseconds(m_clock), now);
    if (choice) {
        connectTo(*choice, now);
    }
}

void FeedClient::connectTo(const FeedSourceChoice &choice, TimePoint now)
{
    closeSource("a preferred source is available");
    std::error_code error;
    const int fd = connectTcp(choice.member.feed, error);
    if (fd < 0) {
        m_selector.onFailed(choice.member.instance, now);
        return;
    }
    setTcpOptions(fd, FeedLiveness);
    m_source = choice.member.instance;
    m_substitute = choice.substitute;
    m_lastReceivedAt = m_loop.now();
    m_reader = FeedFrameReader();
    m_totalReceived = false;
    ++m_connections;
    m_socket = std::make_unique<StreamSocket>(m_loop, fd, StreamSocket::Start::Connecting, *this);
    m_socket->send(encodeFeedFrame(FeedSubscribe{m_self}));
}

void FeedClient::onConnected(TimePoint now)
{
    m_lastReceivedAt = now;
}

void FeedClient::onBytes(std::string_view bytes, TimePoint now)
{
    std::vector<FeedMessage> messages;
    if (!m_reader.feed(bytes, messages)) {
        dropSource("unreadable", now);
        return;
    }
    m_lastReceivedAt = now;
    const InstanceId sender = m_source;
    for (const FeedMessage &message : messages) {
        if (m_source != sender) {
            return; // A message before made this daemon leave the source.
        }
        onMessage(message, now);
    }
}

void FeedClient::onMessage(const FeedMessage &message, TimePoint now)
{
    if (const auto *page = std::get_if<FeedPage>(&message)) {
        m_follower.applyFeedPage(page->topic, page->page, page->listing, now);
        return;
    }
    if (const auto *load = std::get_if<FeedLoad>(&message)) {
        m_totalReceived = m_totalReceived || !load->changesOnly;
        if (m_totalReceived) {
            m_onLoad(*load, now);
        } else {
            dropSource("changes of loads without a total", now);
        }
        return;
    }
    const auto *heartbeat = std::get_if<FeedHeartbeat>(&message);
    if (heartbeat == nullptr) {
        return;
    }
    if (!heartbeat->storeStaleness) {
        dropSource("the source does not read the store", now);
    } else if (*heartbeat->storeStaleness > FeedStalenessLimit) {
        onStaleSource(now);
    } else {
        m_selector.onFresh(m_source);
        if (!m_substitute) {
            m_switchChecksLeft = 0;
            setFollowingFeed(true, "fresh");
        }
    }
}

void FeedClient::onStaleSource(TimePoint now)
{
    const bool leftFreshSource = m_switchChecksLeft > 0;
    if (!leftFreshSource && !viewIsStale(now)) {
        setFollowingFeed(false, "the source is stale");
        return;
    }
    // Another daemon may be fresh.
    m_selector.onStale(m_source, now);
    closeSource("the source is stale");
    chooseSource(now);
}

bool FeedClient::sendLoad(const FeedLoad &load)
{
    if (!m_socket || !m_follower.followingFeed()) {
        return false;
    }
    m_socket->send(encodeFeedFrame(load));
    return true;
}

bool FeedClient::sendEvidence(const std::vector<RolloutEvidence> &evidence)
{
    if (!m_socket || !m_follower.followingFeed()) {
        return false;
    }
    m_socket->send(encodeFeedFrame(FeedEvidence{evidence}));
    return true;
}

void FeedClient::onEnd(TimePoint now)
{
    dropSource("closed", now);
}

void FeedClient::onError(std::error_code, TimePoint now)
{
    dropSource("broken", now);
}

void FeedClient::dropSource(const char *reason, TimePoint now)
{
    if (m_socket) {
        m_selector.onFailed(m_source, now);
        closeSource(reason);
    }
}

void FeedClient::closeSource(const char *reason)
{
    if (!m_socket) {
        return;
    }
    m_source = InstanceId();
    m_substitute = false;
    m_socket->close();
    m_loop.defer([dead = std::shared_ptr<StreamSocket>(std::move(m_socket))] {});
    if (m_follower.followingFeed() && m_switchChecksLeft == 0) {
        m_switchChecksLeft = SwitchChecks;
    }
}

void FeedClient::checkSwitchGrace()
{
    if (m_switchChecksLeft > 0 && --m_switchChecksLeft == 0) {
        setFollowingFeed(false, "no other source");
    }
}

void FeedClient::setFollowingFeed(bool followingFeed, const char *reason)
{
    if (m_follower.followingFeed() == followingFeed) {
        return;
    }
    m_follower.setFollowingFeed(followingFeed);
    m_onSourceChange(followingFeed ? m_source : InstanceId(), reason);
}

} // namespace lycheearch
