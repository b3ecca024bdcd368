#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Fleet/FleetView.h"
#include "Routing/BackendLoads.h"
#include "Routing/BackendRateLimiter.h"
#include "Routing/CapacityForecast.h"
#include "Routing/PromptCacheIndex.h"
#include "Routing/PromptPlacement.h"
#include "Routing/RolloutRule.h"
#include "Routing/ServerSpeeds.h"
#include "Routing/ServiceReach.h"

namespace lycheearch {

/// Outcome of a request that was sent to a backend server, by what it says about the server.
enum class SendOutcome {
    Served, ///< A valid answer.
    ServerFailed, ///< The server answered with a server error status (5xx).
    Broken, ///< The answer was truncated, corrupt, stalled or incomplete at the deadline.
    Reset, ///< A new connection was closed before any answer.
    Unreachable, ///< No connection was made, for example because it was refused.
    Silent, ///< The host did not answer: connect timeout, or the connection stopped responding.
    Overloaded, ///< The server rejected the request because it was full.
    Misdirected, ///< Another server now has the address.
    Moved, ///< Sent elsewhere because the answer was late; says nothing about the server.
    Hung, ///< The same, and the server had given no answer since another such request.
    Cancelled, ///< Cancelled by the caller or this daemon; says nothing about the server.
};

/// What a request needs from a backend server.
struct PickRequest
{
    ServiceId service;
    PromptWork prompt;
    int urgency = 0; ///< Urgency class of the request at the engine; 0 is admitted first.
    bool engine = false; ///< The service runs models: load is counted in prompt tokens.
    VersionRule versions;
    std::set<InstanceId> disallowedBackends; ///< Must not be chosen, such as those already tried.
};

/// The chosen server, with the inputs of the decision.
struct Pick
{
    InstanceId backend;
    double load = 0; ///< Requests of all daemons per slot of the server.
    double backlogTokens = 0; ///< Weighted prompt tokens to prefill before this request.
    double prefillTokens = 0; ///< Weighted prompt tokens to prefill for this request.
    /// Mean number of weighted prompt tokens to prefill at a candidate, all urgency classes summed,
    /// in tokens of a usual server.
    double meanBacklog = 0;
    bool local = false; ///< In the data centre of this daemon.
    int candidates = 0;
    const char *reason = ""; ///< "cached", "copied", "read" or "least" (least loaded).
    std::optional<InstanceId> copyFrom; ///< Server from which the shared prefix is copied.
    /// Time that the server takes for its work, relative to a usual one; 1 if it is not known.
    double slowness = 1;

    /// Weighted tokens that a usual server prefills in the time before the first event of the
    /// answer.
    double workTokens() const { return slowness * (backlogTokens + prefillTokens); }
};

/// When the servers of a service have room again, as far as they said so.
struct RoomForecast
{
    /// Until the first pause that a server asked for ends; zero if none asked for one.
    Duration shortestPause{};
    /// Sum of the rate limits that servers named, in requests per second of all daemons.
    double limitedRate = 0;
};

/// Why no backend server was chosen.
enum class PickFault {
    None,
    NoBackend,
    AllCold, ///< Servers remain, but they are cold and at their rate limit.
    AllPaused, ///< Servers remain, but they asked for a pause.
    AllRateLimited, ///< Servers remain, but they named rate limits that are used up.
    AllFull, ///< Servers remain, but they are brittle and may have no room.
    AllSilent, ///< Servers remain, but in data centres that are excluded as unresponsive.
};

/// Chooses the backend server for each request of one daemon, and tracks the load and health of the
/// servers. Uses PromptPlacement for engines and the least loaded server otherwise. Handles failing
/// and unreachable servers (exclusion with exponential backoff, ignored if it would leave no
/// server), unresponsive data centres (excluded as a whole), services of which this daemon reaches
/// no server (which then counts against no server), servers that BackendRateLimiter holds
/// back, servers that announced in their answers that they stop (never chosen), and servers of
/// different speed, if they say how slow their hosts are (ServerSpeeds).
class BackendPicker
{
public:
    BackendPicker(const InstanceId &self, DataCentreId ownDataCentre);

    /// Chooses a server of \p view for the request. If there is none, sets \p fault to the reason.
    std::optional<Pick> pick(const PickRequest &request, const FleetView &view, TimePoint now,
                             PickFault &fault);
    /// Records that the request was sent to the server of \p pick.
    void onSent(const Pick &pick, const PickRequest &request, TimePoint now);
    /// Records the first byte of an answer. The prefill of the request, as given to onSent(), no
    /// longer counts as load.
    void onFirstByte(const InstanceId &id, int urgency, double prefillTokens, TimePoint now);
    /// Records the end of a request. \p unansweredTokens is its weighted prefill if no byte of the
    /// answer arrived, else 0.
    void onEnded(const InstanceId &id, SendOutcome outcome, int urgency, double unansweredTokens,
                 TimePoint now);
    /// Records that a server accepted a connection or answered a request; the attempt began at
    /// \p begunAt.
    void onReached(const InstanceId &id, TimePoint begunAt);
    /// Which services this daemon reaches.
    ServiceReach &reach() { return m_reach; }
    const ServiceReach &reach() const { return m_reach; }
    /// The servers of a service that requests were compared for.
    ServiceReach::Servers serversOf(const ServiceId &service) const;
    /// Records the running and waiting requests that a server reported with an answer.
    void onLoadReported(const InstanceId &id, int running, int waiting, TimePoint now);
    /// Records how slow the host of a server is, 1 is usual, as reported with an answer.
    void onHostReported(const InstanceId &id, double hostSlowness, TimePoint now);
    /// Records that a server reported a load that can't be read. Returns false if this was known of
    /// this run of the server.
    bool onUnreadableLoad(const InstanceId &id);
    /// Records the time to the beginning of an answer, or between two events of a stream, for work
    /// of some kind. Returns whether it was counted; that is so only if the speeds of the service
    /// are used.
    bool onAnswerBegun(const InstanceId &id, const std::string &kind, double work, Duration latency,
                       TimePoint now);
    bool onGap(const InstanceId &id, const std::string &kind, Duration gap, TimePoint now);
    /// Returns whether a server was just found to be slow for good, or no longer to be.
    SpeedChange takeSpeedChange(const InstanceId &id, TimePoint now);
    /// How much longer than usual a server takes for its work on average.
    double lastingSlowness(const InstanceId &id, TimePoint now);
    /// Adds what other daemons observed of servers that this daemon knows.
    void applySpeeds(const std::vector<SpeedReport> &reports, TimePoint now);
    /// Whether servers of the service reported lately how slow their hosts are.
    bool speedsUsedFor(const ServiceId &service, TimePoint now) const
    {
        return m_speeds.usedFor(service, now);
    }
    /// The speeds that this daemon observed since the last call.
    std::vector<SpeedReport> takeUnpublishedSpeeds(TimePoint now)
    {
        return m_speeds.takeUnpublished(now);
    }
    /// Records that a server announced that it is about to stop. Returns false if this was known.
    bool onLeaving(const InstanceId &id, TimePoint now);
    /// Records that a server asked for no requests for a time.
    void onPauseRequested(const InstanceId &id, Duration pause, TimePoint now);
    /// Records the rate limit that a server stated in a response, or that it stated none. Returns
    /// whether the limit in force has changed.
    bool onRateLimit(const InstanceId &id, std::optional<double> perSecond, TimePoint now);
    /// Records how many rejections a server says that it bears, or that it did not say so. Returns
    /// whether that has changed.
    bool onBrittle(const InstanceId &id, std::optional<double> maxRejections, TimePoint now);
    /// When servers that are held back have room for the request.
    RoomForecast roomForecast(const PickRequest &request, const FleetView &view,
                              TimePoint now) const;
    /// How far the servers are taken that the request may be sent to.
    ServiceOccupancy occupancy(const PickRequest &request, const FleetView &view,
                               TimePoint now) const;
    /// Load that this daemon puts on the servers.
    BackendLoads ownLoads(TimePoint now) const;
    /// Sets the load that all other daemons put on the servers. It expires if it is not renewed.
    void setOtherDaemonsLoads(BackendLoads loads, TimePoint now);
    /// The same, for the servers of \p changes only; those without load lose their entry.
    void changeOtherDaemonsLoads(const BackendLoads &changes, TimePoint now);
    /// The load that all other daemons put on the servers, as it was last set.
    const BackendLoads &otherDaemonsLoads() const { return m_otherDaemonsLoads; }
    /// Sets the number of daemons that send to the same servers.
    void setDaemons(int daemons) { m_placement.setDaemons(daemons); }
    BackendRateLimiter &rateLimiter() { return m_rateLimiter; }
    /// Index of cached prompt prefixes.
    PromptCacheIndex &promptCacheIndex() { return m_promptCacheIndex; }
    /// Drops the state of servers that are not in the view and have no request in flight.
    void prune(const FleetView &view, TimePoint now);

private:
    /// State of one server.
    struct Health
    {
        int inFlight = 0;
        TokensByUrgency unanswered{}; ///< Weighted prefill tokens before the first answer byte.
        int running = 0; ///< Requests of all daemons, by the last report.
        int waiting = 0; ///< Requests of all daemons, by the last report.
        int inFlightAtReport = 0;
        double unansweredAtReport = 0; ///< Sum over all urgency classes.
        TimePoint lastAnswerAt; ///< When an answer last began or a valid one last ended.
        TimePoint reportedAt;
        int consecutiveExclusions = 0; ///< Since the last valid answer; determines the backoff.
        TimePoint excludedUntil;
        double failureRate = 0; ///< Moving average.
        int samples = 0;
        bool connectionFailed = false; ///< Set by a failed connection, cleared by a valid answer.
        std::int64_t startedAt = 0;
        bool unreadableLoad = false; ///< In this run.
    };

    /// Where a server is and what it provides.
    struct Place
    {
        ServiceId service;
        DataCentreId dataCentre;
    };

    /// State of one data centre.
    struct DataCentreHealth
    {
        std::set<InstanceId> silentServers; ///< Since the last answer of any server there.
        int consecutiveExclusions = 0; ///< Since that answer; determines the backoff.
        TimePoint excludedUntil;
    };

    struct Candidate
    {
        const BackendState *state = nullptr;
        Health *health = nullptr;
        const BackendLoadShare *others = nullptr; ///< See otherDaemonsLoad().
        double load = 0;
        bool local = false;
        bool excluded = false;
        double slowness = 1;
        double lastingSlowness = 1;
    };

    /// Whether a server in the view may get the request, apart from its health and load.
    bool matches(const BackendState &state, const PickRequest &request,
                 const FleetView &view) const;
    /// Servers that match the request, except those that the rate limiter holds back and those of
    /// excluded data centres. Servers that are excluded themselves are included, but marked.
    std::vector<Candidate> collectCandidates(const PickRequest &request, const FleetView &view,
                                             TimePoint now, PickFault &fault);
    /// Keeps the part of the candidates that a version rule allows in its present rotation.
    static void keepRotatedServers(const VersionRule &versions, std::vector<Candidate> &candidates);
    /// Sets the expected speeds of the candidates.
    void setSpeeds(std::vector<Candidate> &candidates, TimePoint now) const;
    bool speedsUsedFor(const InstanceId &id, TimePoint now) const;
    Pick pickForPrompt(const PickRequest &request, const std::vector<Candidate> &candidates,
                       TimePoint now);
    /// Drops the cached prefixes of a server whose start time changed.
    void detectRestart(const BackendState &state, Health &health);
    Pick pickLeastLoaded(const std::vector<Candidate> &candidates, bool speedsUsed);
    double backlogTokens(const Candidate &candidate, int urgency, const ServiceId &service,
                         TimePoint now) const;
    /// Cost of the expected wait for a slot, in prompt tokens.
    static double slotWaitCost(const Candidate &candidate);
    /// Load of the other daemons on a server; null if it has expired.
    const BackendLoadShare *otherDaemonsLoad(const InstanceId &id, TimePoint now) const;
    bool isDataCentreExcluded(const DataCentreId &dataCentre, TimePoint now) const;
    static bool isExcluded(const Health &health, const BackendLoadShare *others, TimePoint now);
    /// Requests per slot of the server.
    static double loadOf(const Health &health, const BackendState &state,
                         const BackendLoadShare *others, TimePoint now);
    /// The present run of a server, as far as the view knows it.
    ServerRun runOf(const InstanceId &id);
    void exclude(Health &health, TimePoint now);
    void recordConnectFailure(const InstanceId &id, TimePoint now);
    void recordSilentServer(const InstanceId &id, TimePoint now);

    DataCentreId m_ownDataCentre;
    std::map<InstanceId, Health> m_health;
    BackendRateLimiter m_rateLimiter;
    ServerSpeeds m_speeds;
    ServiceReach m_reach;
    std::map<InstanceId, Place> m_places;
    std::map<DataCentreId, DataCentreHealth> m_dataCentreHealth;
    BackendLoads m_otherDaemonsLoads;
    TimePoint m_otherDaemonsLoadsAt;
    std::map<ServiceId, double> m_meanPrefillTokens;
    PromptCacheIndex m_promptCacheIndex;
    PromptPlacement m_placement;
    std::uint64_t m_tieBreak = 0;
};

} // namespace lycheearch
