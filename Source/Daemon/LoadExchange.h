#pragma once

#include <map>
#include <memory>

#include "Feed/FeedClient.h"
#include "Feed/FeedServer.h"
#include "Feed/LoadChanges.h"
#include "Feed/LoadSender.h"
#include "Routing/BackendPicker.h"
#include "Routing/CapacityShares.h"
#include "Routing/CrashTable.h"
#include "Routing/PeerSelector.h"
#include "Routing/PendingCrashes.h"

namespace lycheearch {

/// Exchanges backend load and prompt cache entries with the other daemons, so that each daemon
/// routes by the load and the caches of all. A daemon that follows a feed reports its own load to
/// its feed source and receives the total or what has changed in it. A daemon that reads the store
/// adds up the load of its data centre, sends the sum to the other data centres and broadcasts the
/// total to its followers. The load of a data centre that stops reporting expires. Evidence against
/// prompts that crash servers, the rate limits that servers named, and which daemons are cut off
/// from the servers of a service, take the same way.
class LoadExchange
{
public:
    LoadExchange(EventLoop &loop, InstanceId self, DataCentreId ownDataCentre,
                 const FleetView &view, const FleetFollower &follower, FeedClient &client,
                 BackendPicker &picker, PeerSelector &peers, CrashTable &crashes,
                 PendingCrashes &pendingCrashes, const Clock &clock);
    ~LoadExchange();

    void start(FeedServer &server);
    /// Exchanges the use of services by accounts as well. Without it, none is sent.
    void setShares(CapacityShares &shares) { m_shares = &shares; }
    /// Receives the load of another data centre.
    void onRemoteLoad(const FeedLoad &load, TimePoint now);

private:
    /// Minimum time between two reports of the speed of one server to the followers.
    static constexpr Duration SpeedForwardPeriod = 1s;

    /// The latest load report of another data centre.
    struct RemoteLoad
    {
        BackendLoads loads;
        std::vector<CutOffDaemon> cutOff;
        ServiceUses uses;
        TimePoint at; ///< When it was received.
    };

    void step(TimePoint now);
    void reportToSource(TimePoint now);
    /// Reports everything again to a source that was connected since the last report.
    void forgetReportsToOthers();
    void applyRateLimits(const std::vector<LimitsNotice> &notices, TimePoint now);
    /// Adds what this daemon observed to what its followers did.
    void addOwnSpeeds(std::vector<SpeedReport> &followerSpeeds, TimePoint now);
    void aggregateLoads(TimePoint now);
    void sendToDataCentres(const FeedLoad &load, TimePoint now);
    void onTotalLoad(const FeedLoad &total, TimePoint now);

    /// This daemon, if it is cut off from the servers of any service.
    std::vector<CutOffDaemon> ownCutOff() const;
    ServiceUses ownUses(TimePoint now) const;
    void setOtherDaemonsUses(ServiceUses uses, TimePoint now);

    EventLoop &m_loop;
    InstanceId m_self;
    DataCentreId m_ownDataCentre;
    const FleetView &m_view;
    const FleetFollower &m_follower;
    FeedClient &m_client;
    BackendPicker &m_picker;
    PeerSelector &m_peers;
    CrashTable &m_crashes;
    PendingCrashes &m_pendingCrashes;
    const Clock &m_clock;
    FeedServer *m_server = nullptr;
    CapacityShares *m_shares = nullptr; ///< Null if admission is off.
    ServiceUses m_lastSentUses; ///< Own use as last sent to the feed source.
    bool m_sourceAcceptsChanges = false; ///< By the last message of the source.
    FollowedLoads m_followedLoads;
    int m_reportedConnection = 0; ///< The number of the connection of the last report.
    bool m_pickerFollows = false; ///< The picker has the loads of m_followedLoads.
    BackendLoads m_lastSentLoads; ///< Own load as last sent to the feed source.
    std::vector<CutOffDaemon> m_lastSentCutOff; ///< The same.
    std::map<DataCentreId, RemoteLoad> m_remoteLoads;
    std::vector<PromptCacheEntry> m_entriesToForward; ///< From other data centres, to followers.
    CrashEvidence m_evidenceToForward; ///< From other data centres, to followers.
    std::vector<LimitsNotice> m_rateLimitsToForward; ///< From other data centres, to followers.
    SpeedReportSum m_speedsToForward{SpeedForwardPeriod}; ///< Of all data centres, to followers.
    std::map<DataCentreId, std::unique_ptr<LoadSender>> m_senders;
    TimerId m_timer;
};

} // namespace lycheearch
