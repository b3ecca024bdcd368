#include "Feed/FeedClient.h"

#include <algorithm>

#include "Base/Hash.h"
#include "Feed/FeedTiming.h"

namespace lycheearch {

namespace {

constexpr Duration CheckPeriod = 200ms;
/// How long this daemon tries to switch to another source before it reads the store itself.
constexpr Duration SwitchGrace = 300ms;
/// A failed source is not retried for this long.
constexpr Duration RetryBackoff = 3s;
/// The same while this daemon has neither a source nor the store.
constexpr Duration LostStoreBackoff = 600ms;
/// Members whose last registration is older are ignored.
constexpr std::int64_t MemberLifetimeMs = 150'000;

} // namespace

std::uint64_t feedRank(const InstanceId &instance)
{
    return stableHash("feed/" + instance.value());
}

bool memberIsCurrent(const MemberRegistered &member, std::int64_t wallMilliseconds)
{
    return member.registeredAt > wallMilliseconds - MemberLifetimeMs;
}

std::vector<MemberRegistered> feedOrder(const std::map<InstanceId, MemberRegistered> &members,
                                        const DataCentreId &dataCentre,
                                        std::int64_t wallMilliseconds)
{
    std::vector<MemberRegistered> order;
    for (const auto &[id, member] : members) {
        if (member.dataCentre == dataCentre && memberIsCurrent(member, wallMilliseconds)) {
            order.push_back(member);
        }
    }
    std::sort(order.begin(), order.end(),
              [](const MemberRegistered &left, const MemberRegistered &right) {
                  return feedRank(left.instance) < feedRank(right.instance);
              });
    return order;
}

std::vector<MemberRegistered> feedCandidates(const std::map<InstanceId, MemberRegistered> &members,
                                             const InstanceId &self, const DataCentreId &dataCentre,
                                             std::int64_t wallMilliseconds)
{
    std::vector<MemberRegistered> order = feedOrder(members, dataCentre, wallMilliseconds);
    std::erase_if(order, [&](const MemberRegistered &member) {
        return member.instance == self || feedRank(member.instance) >= feedRank(self);
    });
    return order;
}

FeedClient::FeedClient(EventLoop &loop, InstanceId self, DataCentreId dataCentre,
                       const FleetView &view, FleetFollower &follower, const Clock &clock,
                       SourceChangeCallback onSourceChange)
    : m_loop(loop)
    , m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_view(view)
    , m_follower(follower)
    , m_clock(clock)
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
    }
    checkSwitchGrace(now);
    if (!m_follower.synced()) {
        return;
    }
    const std::vector<MemberRegistered> candidates =
        feedCandidates(m_view.members(), m_self, m_dataCentre, wallMilliseconds(m_clock));
    for (const MemberRegistered &member : candidates) {
        const auto backoff = m_backoffUntil.find(member.instance);
        if (backoff != m_backoffUntil.end() && backoff->second > now) {
            continue;
        }
        if (m_source != member.instance) {
            connectTo(member, now);
        }
        break;
    }
    if (!m_socket && m_follower.storeLost()) {
        retryAnySource(candidates, now);
    }
    // While no source can be reached, this daemon is not a backup: no other daemon reads for it.
    m_follower.setBackupReader(m_socket != nullptr);
}

void FeedClient::retryAnySource(const std::vector<MemberRegistered> &candidates, TimePoint now)
{
    const auto backoffEnd = [&](const MemberRegistered &member) {
        const auto found = m_backoffUntil.find(member.instance);
        return found == m_backoffUntil.end() ? TimePoint() : found->second;
    };
    const auto next = std::min_element(
        candidates.begin(), candidates.end(),
        [&](const auto &left, const auto &right) { return backoffEnd(left) < backoffEnd(right); });
    if (next != candidates.end() && backoffEnd(*next) - now <= RetryBackoff - LostStoreBackoff) {
        connectTo(*next, now);
    }
}

void FeedClient::connectTo(const MemberRegistered &member, TimePoint now)
{
    if (m_socket) {
        dropSource("a preferred source is available", now);
        m_backoffUntil.clear();
    }
    std::error_code error;
    const int fd = connectTcp(member.feed, error);
    if (fd < 0) {
        m_backoffUntil[member.instance] = now + RetryBackoff;
        return;
    }
    setTcpOptions(fd, FeedLiveness);
    m_source = member.instance;
    m_lastReceivedAt = now;
    m_reader = FeedFrameReader();
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
    for (const FeedMessage &message : messages) {
        if (m_socket) {
            onMessage(message, now);
        }
    }
}

void FeedClient::onMessage(const FeedMessage &message, TimePoint now)
{
    if (const auto *page = std::get_if<FeedPage>(&message)) {
        m_follower.applyFeedPage(page->topic, page->page, page->listing, now);
        return;
    }
    if (const auto *load = std::get_if<FeedLoad>(&message)) {
        m_onLoad(*load, now);
        return;
    }
    const auto *heartbeat = std::get_if<FeedHeartbeat>(&message);
    if (heartbeat == nullptr) {
        return;
    }
    if (!heartbeat->storeStaleness) {
        dropSource("the source does not read the store", now);
    } else if (*heartbeat->storeStaleness > FeedStalenessLimit) {
        setFollowingFeed(false, "the source is stale");
    } else {
        m_sourceLostAt = TimePoint();
        setFollowingFeed(true, "fresh");
    }
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
    if (!m_socket) {
        return;
    }
    const bool silent = now - m_lastReceivedAt > FeedReceiveTimeout;
    m_backoffUntil[m_source] = now + RetryBackoff;
    m_source = InstanceId();
    m_socket->close();
    m_loop.defer([dead = std::shared_ptr<StreamSocket>(std::move(m_socket))] {});
    if (silent || !m_follower.followingFeed()) {
        setFollowingFeed(false, reason);
    } else {
        m_sourceLostAt = now;
    }
}

void FeedClient::checkSwitchGrace(TimePoint now)
{
    if (m_sourceLostAt != TimePoint() && now - m_sourceLostAt >= SwitchGrace) {
        m_sourceLostAt = TimePoint();
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
