#pragma once

#include <functional>
#include <memory>
#include <system_error>
#include <unordered_map>

#include "Base/Endpoint.h"
#include "Feed/FeedMessages.h"
#include "Fleet/FleetFollower.h"
#include "Net/Acceptor.h"
#include "Net/ClientLimitObserver.h"

namespace lycheearch {

/// Limits of the connections to a FeedServer.
struct FeedLimits
{
    std::size_t maxConnections = 256;
    /// Memory of all connections: incomplete messages, reported loads and unsent bytes.
    std::size_t memoryBytes = 64UL * 1024 * 1024;
};

/// Sends what this daemon reads from the store to the daemons that follow its feed, so that only
/// few daemons read the store. Each heartbeat contains how stale the data is; followers read the
/// store themselves when this daemon can't. A connection that sends nothing for some time, or that
/// takes most of the memory when it does not suffice, is closed.
class FeedServer
{
public:
    /// Called with the rollout evidence of a follower.
    using EvidenceCallback = std::function<void(const FeedEvidence &evidence)>;
    /// Called with the total load of the daemons of another data centre.
    using LoadCallback = std::function<void(const FeedLoad &load, TimePoint now)>;

    /// Sets \p error if it can't listen.
    FeedServer(EventLoop &loop, const Endpoint &listen, const FleetFollower &follower,
               EvidenceCallback onEvidence, LoadCallback onLoad, const FeedLimits &limits,
               ClientLimitObserver &limitObserver, std::error_code &error);
    ~FeedServer();
    FeedServer(const FeedServer &) = delete;
    FeedServer &operator=(const FeedServer &) = delete;

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

    void onAccepted(int fd, TimePoint now);
    /// Closes the connection that has sent nothing for the longest time, if it is silent. Returns
    /// whether it did.
    bool closeMostSilent(const char *why, TimePoint now);
    /// Closes the connections whose unsent bytes exceed a limit.
    void endOverfull();
    /// Closes the connections that take most of the memory until the rest fits.
    void endLargest();
    void startFirstMessageTimer(TimePoint now);
    /// Closes the connections that have not sent a whole message in time.
    void closeWithoutMessage(TimePoint now);
    void endForLimit(FeedConnection &connection, const char *why);
    void storePromptCacheEntries(const std::vector<PromptCacheEntry> &promptCacheEntries);
    void sendToFollowers(std::string_view frame);
    std::size_t sendLoads(std::string_view total, std::string_view changes);
    bool anyFollower(bool keepsTotal) const;
    void sendHeartbeats(TimePoint now);
    void sendInitialState(FeedConnection &connection);
    void remove(FeedConnection &connection);

    EventLoop &m_loop;
    const FleetFollower &m_follower;
    EvidenceCallback m_onEvidence;
    LoadCallback m_onLoad;
    FeedLimits m_limits;
    ClientLimitObserver &m_limitObserver;
    TimerId m_timer;
    TimerId m_firstMessageTimer;
    std::size_t m_heldBytes = 0; ///< By all connections.
    std::unordered_map<FeedConnection *, std::shared_ptr<FeedConnection>> m_connections;
    BackendLoads m_sentLoads; ///< The last total; followers that keep a total have this one.
    std::vector<PromptCacheEntry> m_promptCacheEntries;
    CrashEvidence m_crashEvidence;
    std::vector<LimitsNotice> m_rateLimits;
    SpeedReportSum m_speeds{Duration::zero()};
    Acceptor m_acceptor;
};

} // namespace lycheearch
