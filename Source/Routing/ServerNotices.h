#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Base/Ids.h"
#include "Base/Time.h"

namespace lycheearch {

/// One run of a backend server, from its start to its stop. A server may start again under its id;
/// nothing that it said before holds then.
struct ServerRun
{
    InstanceId id;
    std::int64_t startedAt = 0; ///< Unix milliseconds; 0 if not reported.

    bool operator==(const ServerRun &) const = default;
};

/// A rate limit that a server announced, as daemons tell it each other.
struct RateLimitNotice
{
    ServerRun server;
    /// Requests per second from all daemons together; std::nullopt: the server ended its limit.
    std::optional<double> perSecond;
    Duration age{}; ///< Time since the server said so.

    bool operator==(const RateLimitNotice &) const = default;
};

/// Adds \p notices to \p sum, which has the newest notice of each server only.
void addNewest(std::vector<RateLimitNotice> &sum, const std::vector<RateLimitNotice> &notices);

/// What backend servers announced in their responses to this daemon: that they are about to stop,
/// that they want no requests for some time, or how many requests they take from all daemons. All
/// hold for one run of a server only.
class ServerNotices
{
public:
    /// Longest pause that a server can ask for. Longer ones are cut, so that a wrong value doesn't
    /// take a server out of use for good.
    static constexpr Duration LongestPause = 300s;

    /// Records that the server is about to stop. Returns false if this was known.
    bool onLeaving(const ServerRun &server, TimePoint now);
    /// Records that the server wants no requests for \p pause.
    void onPauseRequested(const ServerRun &server, Duration pause, TimePoint now);

    /// Records the rate limit that the server stated in a response to this daemon; std::nullopt if
    /// it stated none, which ends an earlier limit. Returns whether the limit in force has changed.
    bool onRateLimit(const ServerRun &server, std::optional<double> perSecond, TimePoint now);
    /// Adds what another daemon was told, unless something newer is known.
    void apply(const RateLimitNotice &notice, TimePoint now);
    /// What this daemon was told since the last call, at most once in RateLimitPublishPeriod for
    /// each server. The other daemons need it.
    std::vector<RateLimitNotice> takeUnpublished(TimePoint now);

    /// Whether the server is about to stop, so that it must get no new requests.
    bool leaving(const ServerRun &server) const;
    /// How long the server must not get requests; zero if it may.
    Duration pauseLeft(const ServerRun &server, TimePoint now) const;
    /// Requests per second that the server takes from all daemons together, if it is limited.
    std::optional<double> rateLimit(const ServerRun &server) const;
    /// Ids of the servers that are about to stop.
    std::vector<InstanceId> leavingServers() const;
    /// Drops notices that are too old to matter. A server has stopped long before.
    void prune(TimePoint now);

private:
    struct Notice
    {
        std::int64_t startedAt = 0;
        TimePoint leavingSince; ///< Unset if the server did not announce that it stops.
        TimePoint pausedUntil;
        std::optional<double> rateLimit; ///< Requests per second.
        TimePoint rateLimitSaidAt;
        bool rateLimitUnpublished = false; ///< Told to this daemon and not yet passed on.
        TimePoint rateLimitPublishedAt;
        TimePoint changedAt;
    };

    Notice &noticeOf(const ServerRun &server, TimePoint now);
    const Notice *find(const ServerRun &server) const;

    std::map<InstanceId, Notice> m_notices;
};

} // namespace lycheearch
