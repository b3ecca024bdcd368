#pragma once

#include <functional>
#include <memory>
#include <system_error>
#include <unordered_map>

#include "Base/Endpoint.h"
#include "Feed/FeedMessages.h"
#include "Fleet/FleetFollower.h"
#include "Net/EventLoop.h"

namespace lycheearch {

/// Sends what this daemon reads from the store to the daemons that follow its feed, so that only
/// few daemons read the store. Each heartbeat contains how stale the data is; followers read the
/// store themselves when this daemon can't.
class FeedServer : private IoHandler
{
public:
    /// Called with the rollout evidence of a follower.
    using EvidenceCallback = std::function<void(const FeedEvidence &evidence)>;
    /// Called with the total load of the daemons of another data centre.
    using LoadCallback = std::function<void(const FeedLoad &load, TimePoint now)>;

    /// Sets \p error if it can't listen.
    FeedServer(EventLoop &loop, const Endpoint &listen, const FleetFollower &follower,
               EvidenceCallback onEvidence, LoadCallback onLoad, std::error_code &error);
    ~FeedServer() override;

    /// Sends a page that was read from the store to all followers.
    void broadcast(Topic topic, const RecordPage &page, bool listing);
    /// Sends the total load of all daemons to all followers: as changes to those that accept them
    /// and have got a total before. Returns how many bytes that was.
    std::size_t broadcastLoad(FeedLoad load);
    /// Returns the sum of the loads that the connected followers sent.
    BackendLoads followerLoads() const;
    /// Returns the sum of the uses that the connected followers sent.
    ServiceUses followerUses() const;
    /// Returns the connected followers that are cut off from backend servers.
    std::vector<CutOffDaemon> followersCutOff() const;
    /// Returns the cached prompt prefixes that followers reported since the last call.
    std::vector<PromptCacheEntry> takePromptCacheEntries()
    {
        return std::exchange(m_promptCacheEntries, {});
    }
    /// Returns and clears what the followers told about prompts that crash servers.
    CrashEvidence takeCrashEvidence() { return std::exchange(m_crashEvidence, {}); }
    /// Returns and clears the rate limits that servers named to the followers.
    std::vector<LimitsNotice> takeRateLimits() { return std::exchange(m_rateLimits, {}); }
    /// Returns and clears the speeds of servers that the followers observed.
    std::vector<SpeedReport> takeSpeeds(TimePoint now) { return m_speeds.take(now); }

private:
    class FeedConnection;

    void onReady(std::uint32_t events, TimePoint now) override;
    void storePromptCacheEntries(const std::vector<PromptCacheEntry> &promptCacheEntries);
    void sendToFollowers(std::string_view frame);
    std::size_t sendLoads(std::string_view total, std::string_view changes);
    bool anyFollower(bool keepsTotal) const;
    void endOverfull();
    void sendHeartbeats(TimePoint now);
    void sendInitialState(FeedConnection &connection);
    void remove(FeedConnection &connection);

    EventLoop &m_loop;
    const FleetFollower &m_follower;
    EvidenceCallback m_onEvidence;
    LoadCallback m_onLoad;
    int m_listener = -1;
    TimerId m_timer;
    std::unordered_map<FeedConnection *, std::shared_ptr<FeedConnection>> m_connections;
    BackendLoads m_sentLoads; ///< The last total; followers that keep a total have this one.
    std::vector<PromptCacheEntry> m_promptCacheEntries;
    CrashEvidence m_crashEvidence;
    std::vector<LimitsNotice> m_rateLimits;
    SpeedReportSum m_speeds{Duration::zero()};
};

} // namespace lycheearch
