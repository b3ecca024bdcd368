#include "Feed/FeedServer.h"

#include <algorithm>
#include <vector>

#include <unistd.h>

#include "Feed/FeedTiming.h"
#include "Fleet/OwnRecords.h"
#include "Net/Socket.h"
#include "Net/StreamSocket.h"

namespace lycheearch {

namespace {

/// A follower with more unsent bytes is disconnected.
constexpr std::size_t MaxQueuedBytes = 8UL * 1024 * 1024;
/// Largest messages of followers and of daemons of other data centres.
constexpr FeedFrameLimits FollowerFrameLimits{2UL * 1024 * 1024, 4UL * 1024 * 1024};
/// Memory of an entry of the reported loads, cut off daemons or uses.
constexpr std::size_t ReportEntryBytes = 160;
/// What the kernel holds of a connection that is not read.
constexpr int ReceiveBufferBytes = 32 * 1024;
/// A connection that sends nothing for this long makes room for a new one. Followers send reports
/// several times in this time.
constexpr Duration SilentAfter = 1s;
/// The first message of a connection must be complete within this time, or twice of it.
constexpr Duration FirstMessageTimeout = 5s;
/// Maximum number of queued prompt cache entries. Entries beyond it are dropped; followers
/// periodically republish the entries that are still in use.
constexpr std::size_t MaxQueuedPromptCacheEntries = 16384;

/// Empties the records of rollout evidence, which are large and change all the time: only daemons
/// that read the store decide on rollouts. The records stay, since followers detect missing ones.
void dropEvidence(Topic topic, RecordPage &page)
{
    if (topic != Topic::Own) {
        return;
    }
    for (RawRecord &record : page.records) {
        if (hasRolloutEvidence(record)) {
            record.value.clear();
        }
    }
}

} // namespace

/// The connection of a follower, or of a LoadSender of another data centre, which does not
/// subscribe and only sends loads.
class FeedServer::FeedConnection : public StreamSocketListener
{
public:
    FeedConnection(FeedServer &server, int fd, TimePoint now)
        : m_server(server)
        , m_socket(server.m_loop, fd, StreamSocket::Start::Connected, *this)
        , m_acceptedAt(now)
        , m_receivedAt(now)
    {
        setTcpOptions(fd, FeedLiveness);
    }

    void send(std::string_view frame)
    {
        m_socket.send(frame);
        countHeld();
    }
    bool overfull() const { return m_socket.queuedBytes() > MaxQueuedBytes; }
    std::size_t heldBytes() const { return m_heldBytes; }
    /// When it last sent something; at first, when it was accepted.
    TimePoint receivedAt() const { return m_receivedAt; }
    TimePoint acceptedAt() const { return m_acceptedAt; }
    /// Whether it has sent a message.
    bool known() const { return m_known; }
    bool subscribed() const { return m_subscribed; }
    /// Whether the follower has the last total and accepts changes to it.
    bool keepsTotal() const { return m_keepsTotal; }
    void onTotalSent() { m_keepsTotal = m_acceptsLoadChanges; }
    const BackendLoads &loads() const { return m_loads; }
    const std::vector<CutOffDaemon> &cutOff() const { return m_cutOff; }
    const ServiceUses &uses() const { return m_uses; }
    void end()
    {
        m_socket.close();
        m_server.remove(*this);
    }
    /// The connection is closed and counts no longer.
    void releaseHeld()
    {
        m_server.m_heldBytes -= m_heldBytes;
        m_heldBytes = 0;
        m_closed = true;
        m_reader = FeedFrameReader();
        m_loads.clear();
        m_cutOff.clear();
        m_uses.clear();
    }

private:
    void onBytes(std::string_view bytes, TimePoint now) override
    {
        m_receivedAt = now;
        std::vector<FeedMessage> messages;
        if (!m_reader.feed(bytes, messages)) {
            m_server.endForLimit(*this, "message too large or unreadable");
            return;
        }
        m_known = m_known || !messages.empty();
        for (const FeedMessage &message : messages) {
            const auto *subscribe = std::get_if<FeedSubscribe>(&message);
            if (subscribe != nullptr && !m_subscribed) {
                m_subscribed = true;
                m_acceptsLoadChanges = subscribe->acceptsLoadChanges;
                m_server.sendInitialState(*this);
            } else if (const auto *evidence = std::get_if<FeedEvidence>(&message)) {
                m_server.m_onEvidence(*evidence);
            } else if (const auto *load = std::get_if<FeedLoad>(&message)) {
                onLoad(*load, now);
            }
        }
        countHeld();
        m_server.endLargest();
    }
    void onSendQueueEmpty(TimePoint) override { countHeld(); }
    void onSendProgress(TimePoint) override { countHeld(); }
    void onEnd(TimePoint) override { end(); }
    void onError(std::error_code, TimePoint) override { end(); }
    const char *duty() const override { return "feed_follower"; }

    void onLoad(const FeedLoad &load, TimePoint now)
    {
        if (m_subscribed) {
            if (load.changesOnly) {
                applyChangedLoads(m_loads, load.loads);
            } else {
                m_loads = load.loads;
            }
            m_cutOff = load.cutOff;
            m_uses = load.uses;
            m_server.storePromptCacheEntries(load.promptCacheEntries);
            m_server.m_crashEvidence.add(load.crashEvidence);
            addNewest(m_server.m_rateLimits, load.rateLimits);
            m_server.m_speeds.add(load.speeds, now);
        } else if (!load.dataCentre.empty()) {
            m_server.m_onLoad(load, now);
        }
    }

    void countHeld()
    {
        if (m_closed) {
            return;
        }
        const std::size_t entries = m_loads.size() + m_cutOff.size() + m_uses.size();
        const std::size_t held =
            m_reader.pendingBytes() + entries * ReportEntryBytes + m_socket.queuedBytes();
        m_server.m_heldBytes += held;
        m_server.m_heldBytes -= m_heldBytes;
        m_heldBytes = held;
    }

    FeedServer &m_server;
    StreamSocket m_socket;
    FeedFrameReader m_reader{FollowerFrameLimits};
    TimePoint m_acceptedAt;
    TimePoint m_receivedAt;
    std::size_t m_heldBytes = 0; ///< Counted in FeedServer::m_heldBytes.
    bool m_known = false;
    bool m_closed = false;
    BackendLoads m_loads;
    std::vector<CutOffDaemon> m_cutOff;
    ServiceUses m_uses;
    bool m_subscribed = false;
    bool m_acceptsLoadChanges = false;
    bool m_keepsTotal = false;
};

FeedServer::FeedServer(EventLoop &loop, const Endpoint &listen, const FleetFollower &follower,
                       EvidenceCallback onEvidence, LoadCallback onLoad, const FeedLimits &limits,
                       ClientLimitObserver &limitObserver, std::error_code &error)
    : m_loop(loop)
    , m_follower(follower)
    , m_onEvidence(std::move(onEvidence))
    , m_onLoad(std::move(onLoad))
    , m_limits(limits)
    , m_limitObserver(limitObserver)
    , m_acceptor(
          loop, listen, ReceiveBufferBytes, [this](int fd, TimePoint now) { onAccepted(fd, now); },
          [this](std::error_code, TimePoint now) { closeMostSilent("no descriptor left", now); },
          error)
{
}

FeedServer::~FeedServer()
{
    m_loop.cancel(m_timer);
    m_loop.cancel(m_firstMessageTimer);
    m_connections.clear();
}

void FeedServer::onAccepted(int fd, TimePoint now)
{
    if (m_connections.size() >= m_limits.maxConnections
        && !closeMostSilent("too many connections", now)) {
        m_limitObserver.onClientLimit("feed", "too many connections", now);
        close(fd);
        return;
    }
    auto connection = std::make_shared<FeedConnection>(*this, fd, now);
    m_connections.emplace(connection.get(), std::move(connection));
    startFirstMessageTimer(now);
}

bool FeedServer::closeMostSilent(const char *why, TimePoint now)
{
    const auto silent = std::min_element(
        m_connections.begin(), m_connections.end(), [](const auto &left, const auto &right) {
            return left.second->receivedAt() < right.second->receivedAt();
        });
    if (silent == m_connections.end() || now - silent->second->receivedAt() < SilentAfter) {
        return false;
    }
    endForLimit(*silent->second, why);
    return true;
}

void FeedServer::endForLimit(FeedConnection &connection, const char *why)
{
    m_limitObserver.onClientLimit("feed", why, m_loop.now());
    connection.end();
}

void FeedServer::endLargest()
{
    while (m_heldBytes > m_limits.memoryBytes && !m_connections.empty()) {
        const auto largest = std::max_element(
            m_connections.begin(), m_connections.end(), [](const auto &left, const auto &right) {
                return left.second->heldBytes() < right.second->heldBytes();
            });
        endForLimit(*largest->second, "memory limit for the feed reached");
    }
}

void FeedServer::startFirstMessageTimer(TimePoint now)
{
    if (!m_firstMessageTimer.active()) {
        m_firstMessageTimer = m_loop.at(now + FirstMessageTimeout, [this](TimePoint present) {
            m_firstMessageTimer = TimerId();
            closeWithoutMessage(present);
        });
    }
}

void FeedServer::closeWithoutMessage(TimePoint now)
{
    std::vector<FeedConnection *> overdue;
    bool someLeft = false;
    for (const auto &[key, connection] : m_connections) {
        if (connection->known()) {
            continue;
        }
        if (now - connection->acceptedAt() >= FirstMessageTimeout) {
            overdue.push_back(key);
        } else {
            someLeft = true;
        }
    }
    for (FeedConnection *connection : overdue) {
        endForLimit(*connection, "no message");
    }
    if (someLeft) {
        startFirstMessageTimer(now);
    }
}

void FeedServer::sendInitialState(FeedConnection &connection)
{
    for (const Topic topic : AllTopics) {
        RecordPage listing = m_follower.mirror().listing(topic);
        listing.end = m_follower.nextOffset(topic);
        listing.era = m_follower.era();
        dropEvidence(topic, listing);
        connection.send(encodeFeedFrame(FeedPage{topic, true, std::move(listing)}));
    }
    // From a timer, since an answer of the store may have arrived that is handled after this event.
    m_loop.cancel(m_timer);
    m_timer = m_loop.at(m_loop.now(), [this](TimePoint present) { sendHeartbeats(present); });
}

void FeedServer::broadcast(Topic topic, const RecordPage &page, bool listing)
{
    if (m_connections.empty()) {
        return;
    }
    RecordPage sent = page;
    dropEvidence(topic, sent);
    sendToFollowers(encodeFeedFrame(FeedPage{topic, listing, std::move(sent)}));
}

std::size_t FeedServer::broadcastLoad(FeedLoad load)
{
    BackendLoads changed;
    const bool withChanges = anyFollower(true);
    if (withChanges) {
        changed = changedLoads(m_sentLoads, load.loads);
    }
    // If all entries changed, one frame is encoded for all.
    const bool sendsChanges = withChanges && changed.size() < load.loads.size();
    std::string total;
    if (!sendsChanges || anyFollower(false)) {
        total = encodeFeedFrame(load);
    }
    m_sentLoads = std::move(load.loads);
    std::string changes;
    if (sendsChanges) {
        load.loads = std::move(changed);
        load.changesOnly = true;
        changes = encodeFeedFrame(load);
    }
    return sendLoads(total, changes);
}

bool FeedServer::anyFollower(bool keepsTotal) const
{
    return std::any_of(m_connections.begin(), m_connections.end(), [&](const auto &entry) {
        return entry.second->subscribed() && entry.second->keepsTotal() == keepsTotal;
    });
}

std::size_t FeedServer::sendLoads(std::string_view total, std::string_view changes)
{
    std::size_t bytes = 0;
    for (const auto &[key, connection] : m_connections) {
        if (!connection->subscribed()) {
            continue;
        }
        const bool asChanges = connection->keepsTotal() && !changes.empty();
        const std::string_view frame = asChanges ? changes : total;
        connection->send(frame);
        connection->onTotalSent();
        bytes += frame.size();
    }
    endOverfull();
    return bytes;
}

void FeedServer::storePromptCacheEntries(const std::vector<PromptCacheEntry> &promptCacheEntries)
{
    if (m_promptCacheEntries.size() + promptCacheEntries.size() <= MaxQueuedPromptCacheEntries) {
        m_promptCacheEntries.insert(m_promptCacheEntries.end(), promptCacheEntries.begin(),
                                    promptCacheEntries.end());
    }
}

BackendLoads FeedServer::followerLoads() const
{
    BackendLoads sum;
    for (const auto &[key, connection] : m_connections) {
        addLoads(sum, connection->loads());
    }
    return sum;
}

ServiceUses FeedServer::followerUses() const
{
    ServiceUses sum;
    for (const auto &[raw, connection] : m_connections) {
        addUses(sum, connection->uses());
    }
    return sum;
}

std::vector<CutOffDaemon> FeedServer::followersCutOff() const
{
    std::vector<CutOffDaemon> all;
    for (const auto &[key, connection] : m_connections) {
        all.insert(all.end(), connection->cutOff().begin(), connection->cutOff().end());
    }
    return all;
}

void FeedServer::sendToFollowers(std::string_view frame)
{
    for (const auto &[key, connection] : m_connections) {
        if (connection->subscribed()) {
            connection->send(frame);
        }
    }
    endOverfull();
}

void FeedServer::endOverfull()
{
    std::vector<FeedConnection *> overfull;
    for (const auto &[key, connection] : m_connections) {
        if (connection->overfull()) {
            overfull.push_back(key);
        }
    }
    for (FeedConnection *connection : overfull) {
        endForLimit(*connection, "unread messages");
    }
    endLargest();
}

void FeedServer::sendHeartbeats(TimePoint now)
{
    m_timer = TimerId();
    if (m_connections.empty()) {
        return;
    }
    sendToFollowers(encodeFeedFrame(FeedHeartbeat{m_follower.storeStaleness(now)}));
    m_timer = m_loop.at(now + FeedHeartbeatPeriod,
                        [this](TimePoint present) { sendHeartbeats(present); });
}

void FeedServer::remove(FeedConnection &connection)
{
    const auto found = m_connections.find(&connection);
    if (found != m_connections.end()) {
        connection.releaseHeld();
        m_loop.defer([dead = std::move(found->second)] {});
        m_connections.erase(found);
    }
}

} // namespace lycheearch
