#pragma once

#include <functional>
#include <map>
#include <memory>

#include "Feed/FeedMessages.h"
#include "Fleet/FleetFollower.h"
#include "Net/EventLoop.h"
#include "Net/StreamSocket.h"

namespace lycheearch {

/// Rank of a member in the feed order, a hash of its id; the lowest rank is first.
std::uint64_t feedRank(const InstanceId &instance);

/// Returns the current members of a data centre in the feed order, the order in which they are
/// preferred as sources. \p wallMilliseconds is the present time in Unix milliseconds.
std::vector<MemberRegistered> feedOrder(const std::map<InstanceId, MemberRegistered> &members,
                                        const DataCentreId &dataCentre,
                                        std::int64_t wallMilliseconds);

/// Returns the members whose feed \p self may follow: those before it in the feed order of its data
/// centre. All members compute the same order, and each follows the first candidate that it can
/// connect to. The first member has no candidates and reads the store.
std::vector<MemberRegistered> feedCandidates(const std::map<InstanceId, MemberRegistered> &members,
                                             const InstanceId &self, const DataCentreId &dataCentre,
                                             std::int64_t wallMilliseconds);

/// Whether a member's last registration is recent enough to consider the member running.
bool memberIsCurrent(const MemberRegistered &member, std::int64_t wallMilliseconds);

/// Replaces reads of the store by the feed of another daemon of the data centre, the source, while
/// that feed is fresh. If the source disconnects or sends nothing, another candidate is tried;
/// while the source is stale or there is none, this daemon reads the store itself.
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
    /// Called with the total load of all daemons as sent by the source.
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

    void updateSource(TimePoint now);
    /// Connects to the source whose last failure is longest ago, if that is long enough.
    void retryAnySource(const std::vector<MemberRegistered> &candidates, TimePoint now);
    void connectTo(const MemberRegistered &member, TimePoint now);
    void onMessage(const FeedMessage &message, TimePoint now);
    void dropSource(const char *reason, TimePoint now);
    void setFollowingFeed(bool followingFeed, const char *reason);
    void checkSwitchGrace(TimePoint now);

    EventLoop &m_loop;
    InstanceId m_self;
    DataCentreId m_dataCentre;
    const FleetView &m_view;
    FleetFollower &m_follower;
    const Clock &m_clock;
    SourceChangeCallback m_onSourceChange;
    LoadCallback m_onLoad;
    std::unique_ptr<StreamSocket> m_socket;
    FeedFrameReader m_reader;
    InstanceId m_source; ///< Empty without a connection.
    TimePoint m_lastReceivedAt; ///< Last data received, or start of the connection attempt.
    TimePoint m_sourceLostAt; ///< When a fresh source was lost; starts SwitchGrace.
    std::map<InstanceId, TimePoint> m_backoffUntil;
    TimerId m_timer;
};

} // namespace lycheearch
