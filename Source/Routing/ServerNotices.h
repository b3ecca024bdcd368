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

/// The limits that a server announced, as daemons tell them each other.
struct LimitsNotice
{
    ServerRun server;
    /// Requests per second from all daemons together; std::nullopt: the server has no limit.
    std::optional<double> perSecond;
    Duration age{}; ///< Time since the server said so.
    /// Rejections per second that the server bears; std::nullopt: it is not brittle.
    std::optional<double> maxRejections = std::nullopt;
    /// Time since the server last rejected a request of any daemon while it was brittle.
    std::optional<Duration> rejectionAge = std::nullopt;

    bool operator==(const LimitsNotice &) const = default;
};

/// Adds \p notices to \p sum, which has the newest notice of each server only.
void addNewest(std::vector<LimitsNotice> &sum, const std::vector<LimitsNotice> &notices);

/// What backend servers announced in their responses to this daemon: that they are about to stop,
/// that they want no requests for some time, how many requests they take from all daemons, or that
/// they are brittle: a brittle server ends if it has to reject too many requests for want of room.
/// All hold for one run of a server only.
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
    /// Records how many rejections per second the server bears, or that it is not brittle
    /// (std::nullopt). Returns whether that has changed.
    bool onBrittle(const ServerRun &server, std::optional<double> maxRejections, TimePoint now);
    /// Records that the server rejected a request of this daemon for want of room.
    void onRejected(const ServerRun &server, TimePoint now);
    /// Adds what another daemon was told, unless something newer is known.
    void apply(const LimitsNotice &notice, TimePoint now);
    /// What this daemon was told since the last call, at most once in RateLimitPublishPeriod for
    /// each server. The other daemons need it.
    std::vector<LimitsNotice> takeUnpublished(TimePoint now);

    /// Whether the server is about to stop, so that it must get no new requests.
    bool leaving(const ServerRun &server) const;
    /// How long the server must not get requests; zero if it may.
    Duration pauseLeft(const ServerRun &server, TimePoint now) const;
    /// Requests per second that the server takes from all daemons together, if it is limited.
    std::optional<double> rateLimit(const ServerRun &server) const;
    /// Rejections per second that the server bears, if it is brittle.
    std::optional<double> maxRejections(const ServerRun &server) const;
    /// When the server last rejected a request of any daemon while it was brittle; unset if it did
    /// not.
    TimePoint lastRejection(const ServerRun &server) const;
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
        std::optional<double> maxRejections; ///< Per second, if the server is brittle.
        TimePoint limitsSaidAt;
        TimePoint rejectedAt; ///< Unset if the server rejected nothing while it was brittle.
        bool limitsUnpublished = false; ///< Told to this daemon and not yet passed on.
        TimePoint limitsPublishedAt;
        TimePoint changedAt;
    };

    /// The server has stated its limits; they are passed on at once if they changed.
    static void noteStatement(Notice &notice, bool changed, TimePoint now);
    Notice &noticeOf(const ServerRun &server, TimePoint now);
    const Notice *find(const ServerRun &server) const;

    std::map<InstanceId, Notice> m_notices;
};

} // namespace lycheearch
