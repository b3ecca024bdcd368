#include "Feed/FeedServer.h"

#include <algorithm>
#include <vector>

#include <sys/epoll.h>
#include <unistd.h>

#include "Feed/FeedTiming.h"
#include "Fleet/OwnRecords.h"
#include "Net/Socket.h"
#include "Net/StreamSocket.h"

namespace lycheearch {

namespace {

constexpr std::size_t MaxConnections = 256;
/// A follower with more unsent bytes is disconnected.
constexpr std::size_t MaxQueuedBytes = 8UL * 1024 * 1024;
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
    FeedConnection(FeedServer &server, int fd)
        : m_server(server)
        , m_socket(server.m_loop, fd, StreamSocket::Start::Connected, *this)
    {
        setTcpOptions(fd, FeedLiveness);
    }

    void send(std::string_view frame) { m_socket.send(frame); }
    bool overfull() const { return m_socket.queuedBytes() > MaxQueuedBytes; }
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

private:
    void onBytes(std::string_view bytes, TimePoint now) override
    {
        std::vector<FeedMessage> messages;
        if (!m_reader.feed(bytes, messages)) {
            end();
            return;
        }
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
    }
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

    FeedServer &m_server;
    StreamSocket m_socket;
    FeedFrameReader m_reader;
    BackendLoads m_loads;
    std::vector<CutOffDaemon> m_cutOff;
    ServiceUses m_uses;
    bool m_subscribed = false;
    bool m_acceptsLoadChanges = false;
    bool m_keepsTotal = false;
};

FeedServer::FeedServer(EventLoop &loop, const Endpoint &listen, const FleetFollower &follower,
                       EvidenceCallback onEvidence, LoadCallback onLoad, std::error_code &error)
    : m_loop(loop)
    , m_follower(follower)
    , m_onEvidence(std::move(onEvidence))
    , m_onLoad(std::move(onLoad))
    , m_listener(listenTcp(listen, error))
{
    if (m_listener >= 0) {
        m_loop.watch(m_listener, EPOLLIN, *this);
    }
}

FeedServer::~FeedServer()
{
    m_loop.cancel(m_timer);
    if (m_listener >= 0) {
        m_loop.unwatch(m_listener);
        close(m_listener);
    }
}

void FeedServer::onReady(std::uint32_t, TimePoint)
{
    std::error_code error;
    const int fd = acceptTcp(m_listener, error);
    if (fd < 0) {
        return;
    }
    if (m_connections.size() >= MaxConnections) {
        close(fd);
        return;
    }
    auto connection = std::make_shared<FeedConnection>(*this, fd);
    m_connections.emplace(connection.get(), std::move(connection));
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
        connection->end();
    }
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
        m_loop.defer([dead = std::move(found->second)] {});
        m_connections.erase(found);
    }
}

} // namespace lycheearch
