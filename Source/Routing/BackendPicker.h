#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Fleet/FleetView.h"
#include "Routing/BackendLoads.h"
#include "Routing/RolloutRule.h"

namespace lycheearch {

/// How a request that was sent to a backend server ended, as far as it tells about the server.
enum class SendOutcome {
    Served, ///< A good answer.
    ServerFailed, ///< The server answered with a failure of its own.
    Broken, ///< The answer broke off, was spoilt or never came.
    Reset, ///< The connection ended before any answer.
    Unreachable, ///< A connection was refused.
    Silent, ///< The server's machine did not answer: no connection in time, or none any more.
    Overloaded, ///< The server turned the request away because it was full.
    Misdirected, ///< Another server has the address now.
    Cancelled, ///< The caller left; tells nothing.
};

/// What a request needs from a backend server.
struct PickRequest
{
    ServiceId service;
    std::uint64_t affinity =
        0; ///< Requests with the same value share cached prompt parts; 0: none.
    std::int64_t promptTokens = 0;
    std::int64_t sharedTokens = 0; ///< Of the prompt, in parts that other requests have too.
    double tokenWeight = 1; ///< Work of a prompt token by the request's model, against the largest.
    int urgency = 0; ///< Class in which the request waits at the engine; 0 is admitted first.
    bool engine = false; ///< The service runs models: work is counted in prompt tokens.
    VersionRule versions;
    std::set<InstanceId> avoid; ///< Servers that were tried before.
};

/// Bounds for backend servers that are cold.
struct ColdLimits
{
    double perSecond = 0; ///< Requests that all daemons together may send; 0: no limit.
    int daemons = 1; ///< Among which they are divided.
};

/// A choice, with the inputs that decided it.
struct Pick
{
    InstanceId backend;
    double load = 0; ///< Requests there for each slot.
    double backlogTokens = 0; ///< Weighed prompt tokens there that are still to be read.
    double workTokens = 0; ///< Those and what the request itself makes to read.
    bool local = false; ///< In the data centre of this daemon.
    int candidates = 0;
    const char *reason = ""; ///< "cached", "spill" or "least".
};

/// Why no backend server was chosen.
enum class PickFault {
    None,
    NoBackend,
    AllCold,
    AllSilent, ///< Those that are left are in data centres that do not answer.
};

/// Chooses the backend server for each request of one daemon, and keeps what the daemon knows of
/// the servers' load and health. Answers to: steady load with shared prompts (each shared part has
/// one place by rendezvous hashing, the same for all daemons, which holds as long as waiting there
/// costs less than reading the part again elsewhere), a hot prompt (spill to the next places),
/// lost servers (exclusion with growing pauses, never of all), cold servers (a share of the
/// requests a second that they bear).
class BackendPicker
{
public:
    BackendPicker(const InstanceId &self, DataCentreId home);

    /// Chooses a server among \p view's for a request, or tells in \p fault why there is none.
    std::optional<Pick> pick(const PickRequest &request, const FleetView &view, TimePoint now,
                             PickFault &fault);
    /// A request was sent.
    void onSent(const InstanceId &id, const PickRequest &request, TimePoint now);
    /// The first byte of the answer to a request with this many prompt tokens came.
    void onAnswering(const InstanceId &id, int urgency, double promptTokens, TimePoint now);
    /// A request left the server. \p unansweredTokens are its prompt tokens if no byte of its
    /// answer came.
    void onEnded(const InstanceId &id, SendOutcome outcome, int urgency, double unansweredTokens,
                 TimePoint now);
    /// The server told its load with an answer.
    void onLoadReported(const InstanceId &id, int running, int waiting, TimePoint now);
    /// When any answer of the server last made progress.
    TimePoint lastHeardAt(const InstanceId &id) const;
    /// Load that this daemon has put on the servers.
    BackendLoads ownLoads(TimePoint now) const;
    /// Load that all other daemons have put on the servers.
    void setOthersLoads(BackendLoads loads, TimePoint now);
    void setColdLimits(const ServiceId &service, ColdLimits limits) { m_cold[service] = limits; }
    /// Forgets servers that the view no longer holds.
    void prune(const FleetView &view);
    /// Requests of this daemon that are at the server.
    int inFlight(const InstanceId &id) const;

private:
    /// What this daemon knows of one server.
    struct Health
    {
        int inFlight = 0;
        TokensByUrgency unanswered{}; ///< Weighed prompt tokens sent without an answer so far.
        int running = 0; ///< Requests there from all daemons, as last reported.
        int waiting = 0;
        int inFlightAtReport = 0;
        double unansweredAtReport = 0; ///< Over all classes.
        TimePoint heardAt;
        TimePoint reportedAt;
        int failures = 0; ///< In a row.
        TimePoint excludedUntil;
        double failureRate = 0; ///< Moving average.
        int samples = 0;
        bool wasDown = false; ///< Failed to connect since its last answer.
        std::int64_t startedAt = 0;
        std::deque<TimePoint> sends; ///< The latest, oldest first.
    };

    /// What this daemon knows of a data centre.
    struct Place
    {
        std::set<InstanceId> silent; ///< Servers that fell silent since the last answer from there.
        int failures = 0; ///< Exclusions in a row.
        TimePoint excludedUntil;
    };

    struct Candidate
    {
        const BackendState *state = nullptr;
        Health *health = nullptr;
        double load = 0;
        bool local = false;
        bool excluded = false;
        std::uint64_t weight = 0; ///< Rendezvous weight for the affinity of the request.
    };

    /// Where this daemon sent requests with one affinity of late.
    struct Visit
    {
        InstanceId backend;
        TimePoint at;
    };

    std::vector<Candidate> collect(const PickRequest &request, const FleetView &view, TimePoint now,
                                   PickFault &fault);
    Pick pickForPrompt(const PickRequest &request, std::vector<Candidate> &candidates,
                       TimePoint now) const;
    Pick pickLeastLoaded(const std::vector<Candidate> &candidates);
    double backlogTokens(const Candidate &candidate, const PickRequest &request,
                         TimePoint now) const;
    const BackendLoadShare *othersLoad(const InstanceId &id, TimePoint now) const;
    bool placeIsSilent(const DataCentreId &dataCentre, TimePoint now) const;
    bool isExcluded(const InstanceId &id, const Health &health, TimePoint now) const;
    bool visitedLately(std::uint64_t affinity, const InstanceId &id, TimePoint now) const;
    double loadOf(const Health &health, const BackendState &state, TimePoint now) const;
    /// Whether it is this daemon's turn at a server that bears less than a request a second
    /// from each.
    bool coldTurn(const BackendState &state, const Health &health, double share,
                  TimePoint now) const;
    bool coldAllows(const BackendState &state, const Health &health, TimePoint now) const;
    void exclude(Health &health, TimePoint now);
    void noteSilence(const InstanceId &id, TimePoint now);

    std::uint64_t m_phase; ///< Sets this daemon's turns at cold servers apart from others'.
    DataCentreId m_home;
    std::map<InstanceId, Health> m_health;
    std::map<InstanceId, DataCentreId> m_placeOf;
    std::map<DataCentreId, Place> m_places;
    std::map<ServiceId, ColdLimits> m_cold;
    BackendLoads m_others;
    TimePoint m_othersAt;
    std::map<ServiceId, double> m_meanPromptTokens;
    std::unordered_map<std::uint64_t, std::vector<Visit>> m_visits;
    std::uint64_t m_tieBreak = 0;
};

} // namespace lycheearch
