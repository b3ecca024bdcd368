#pragma once

#include <functional>
#include <memory>

#include "Feed/FeedMessages.h"
#include "Feed/FeedOrder.h"
#include "Feed/FeedSourceSelector.h"
#include "Fleet/FleetFollower.h"
#include "Net/EventLoop.h"
#include "Net/StreamSocket.h"

namespace lycheearch {

/// Replaces reads of the store by the feed of another daemon of the data centre, the source, while
/// that feed is fresh. If the source disconnects or sends nothing, another candidate is tried;
/// while the source is stale or there is none, this daemon reads the store itself. If the store
/// does not answer either, it gets the news of any daemon that is fresh, until the store answers
/// again.
class FeedClient : public StreamSocketListener
{
public:
    /// Called with the new source when this daemon starts following a feed, and with an empty id
    /// when it stops.
    using SourceChangeCallback = std::function<void(const InstanceId &source, const char *reason)>;

    FeedClient(EventLoop &loop, InstanceId self, DataCentreId dataCentre, const FleetView &view,
               FleetFollower &follower, const Clock &clock, SourceChangeCallback onSourceChange);
    ~FeedClient() override;

    void start();
    /// The daemon that this one is connected to, whether its feed is followed or not; empty if
    /// none.
    const InstanceId &source() const { return m_source; }
    /// Number of connections to sources so far; each source knows only what was sent over its own.
    int connections() const { return m_connections; }
    /// Called with the total load of all daemons as sent by the source, or with its changes since
    /// the last call; the first message of each source is a total.
    using LoadCallback = std::function<void(const FeedLoad &load, TimePoint now)>;
    void onLoad(LoadCallback callback) { m_onLoad = std::move(callback); }
    /// Sends this daemon's load to the source. Returns false if no feed is followed.
    bool sendLoad(const FeedLoad &load);
    /// Sends rollout evidence to the source. Returns false if no feed is followed.
    bool sendEvidence(const std::vector<RolloutEvidence> &evidence);

private:
    void onConnected(TimePoint now) override;
    void onBytes(std::string_view bytes, TimePoint now) override;
    void onEnd(TimePoint now) override;
    void onError(std::error_code error, TimePoint now) override;
    const char *duty() const override { return "feed_source"; }

    void updateSource(TimePoint now);
    /// Whether the store does not answer and the last read is overdue.
    bool viewIsStale(TimePoint now) const;
    void chooseSource(TimePoint now);
    void connectTo(const FeedSourceChoice &choice, TimePoint now);
    void onMessage(const FeedMessage &message, TimePoint now);
    /// The source sent that it is stale: reads the store, or tries another source.
    void onStaleSource(TimePoint now);
    /// Closes the connection and does not retry the source for some time.
    void dropSource(const char *reason, TimePoint now);
    void closeSource(const char *reason);
    void setFollowingFeed(bool followingFeed, const char *reason);
    void checkSwitchGrace();

    EventLoop &m_loop;
    InstanceId m_self;
    DataCentreId m_dataCentre;
    const FleetView &m_view;
    FleetFollower &m_follower;
    const Clock &m_clock;
    FeedSourceSelector m_selector;
    SourceChangeCallback m_onSourceChange;
    LoadCallback m_onLoad;
    std::unique_ptr<StreamSocket> m_socket;
    FeedFrameReader m_reader;
    InstanceId m_source; ///< Empty without a connection.
    bool m_substitute = false; ///< See FeedSourceChoice.
    bool m_viewWasStale = false;
    int m_connections = 0;
    bool m_totalReceived = false; ///< Over this connection.
    TimePoint m_lastReceivedAt; ///< Last data received, or start of the connection attempt.
    /// Above zero after a fresh source was lost, until another one is followed or the store is
    /// read.
    int m_switchChecksLeft = 0;
    TimerId m_timer;
};

} // namespace lycheearch
