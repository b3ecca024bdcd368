#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Routing/DecayingRatio.h"
#include "Routing/ServerNotices.h"

namespace lycheearch {

/// What one or more daemons observed of the speed of a server since their last message.
struct SpeedReport
{
    ServerRun server;
    /// Time that the server took for work, less what its host was slower than usual then.
    double observedSeconds = 0;
    double expectedSeconds = 0; ///< Time that a server of usual speed takes for the same work.
    /// How slow the host was at the server's last answer, 1 is usual; std::nullopt: not said.
    std::optional<double> hostSlowness;
    Duration hostAge{}; ///< Time since that answer.

    bool operator==(const SpeedReport &) const = default;
};

/// Whether all figures of \p report are finite and in the range that daemons send.
bool isSound(const SpeedReport &report);

/// Sums the reports of many daemons, so that they can be passed on as one for each server.
class SpeedReportSum
{
public:
    /// \p period is the minimum time between two reports of one server.
    explicit SpeedReportSum(Duration period)
        : m_period(period)
    {
    }

    /// Adds \p reports, which arrived \p now. Those that are not sound are ignored.
    void add(const std::vector<SpeedReport> &reports, TimePoint now);
    /// Returns and clears the reports that are due.
    std::vector<SpeedReport> take(TimePoint now);
    void clear() { m_entries.clear(); }

private:
    struct Entry
    {
        SpeedReport sum;
        TimePoint hostAt; ///< When the host's slowness was reported.
        TimePoint takenAt;
    };

    Duration m_period;
    std::map<InstanceId, Entry> m_entries;
};

/// Whether a server has just been found to be slow for good, or no longer to be.
enum class SpeedChange { None, FoundSlow, NoLongerSlow };

/// Estimates how much longer than usual each run of a backend server takes for its work. Answers
/// servers of one service that differ in speed for good, and servers whose hosts are slow for
/// moments. For the lasting part, the times of answers are compared with those that this daemon
/// usually sees for the same kind of work; a daemon sees too few answers of each server, so the
/// daemons add up what they observe (takeUnpublished(), apply()). The momentary part is what the
/// server said about its host; it decays to the mean of what it said before. Nothing is observed of
/// services whose servers say nothing about their hosts.
class ServerSpeeds
{
public:
    static constexpr double MinSlowness = 0.25;
    static constexpr double MaxSlowness = 4;

    /// Records how slow the host is, 1 is usual, as the server said with an answer.
    void onHostReported(const ServiceId &service, const ServerRun &server, double hostSlowness,
                        TimePoint now);
    /// Whether a server of the service has said something about its host lately.
    bool usedFor(const ServiceId &service, TimePoint now) const;

    /// Records the time between two events of a stream. \p kind names work that takes equally long
    /// at equal servers. Returns whether it was compared with the usual time.
    bool onGap(const ServerRun &server, const std::string &kind, Duration gap, TimePoint now);
    /// Records the time to the beginning of an answer, and the amount of work until then, in units
    /// of the same kind of work. Returns whether it was compared with the usual time.
    bool onAnswerBegun(const ServerRun &server, const std::string &kind, double work,
                       Duration latency, TimePoint now);

    /// Adds what other daemons observed. A report that is not sound is ignored.
    void apply(const ServiceId &service, const SpeedReport &report, TimePoint now);
    /// What this daemon observed since the last call, at most once a second for each server.
    std::vector<SpeedReport> takeUnpublished(TimePoint now);

    /// Time that the server is expected to take for work, relative to a usual server.
    double slowness(const ServerRun &server, TimePoint now) const;
    /// The lasting part of slowness().
    double lastingSlowness(const ServerRun &server, TimePoint now) const;
    /// Returns a change of the state of the server since the last call for it.
    SpeedChange takeChange(const ServerRun &server, TimePoint now);

    /// Drops the servers for which \p gone(id) is true.
    template <typename Predicate>
    void eraseIf(Predicate gone)
    {
        std::erase_if(m_entries, [&](const auto &entry) { return gone(entry.first); });
    }

private:
    struct Entry
    {
        Entry();

        std::int64_t startedAt = 0;
        DecayingRatio lasting; ///< Observed seconds for each expected second.
        DecayingRatio hostMean; ///< Mean of the host's reported slowness.
        double host = 1; ///< As reported last.
        TimePoint hostAt; ///< Unset if not reported.
        bool knownSlow = false;
        TimePoint changedAt; ///< When knownSlow changed.
        SpeedReport unpublished;
        bool hostUnpublished = false;
        TimePoint publishedAt;
    };

    /// Null if \p server is an earlier run than the known one.
    Entry *entryOf(const ServerRun &server);
    const Entry *find(const ServerRun &server) const;
    static double hostSlowness(const Entry &entry, TimePoint now);
    static double lastingSlowness(const Entry &entry, TimePoint now);
    static void setHost(Entry &entry, double hostSlowness, TimePoint at, TimePoint now);
    bool observe(const ServerRun &server, DecayingRatio &usual, double work, double weight,
                 Duration duration, TimePoint now);

    std::map<InstanceId, Entry> m_entries;
    std::map<ServiceId, TimePoint> m_reportedAt;
    /// By kind of work: seconds between events, and seconds to the beginning of an answer for each
    /// unit of work, at the servers that this daemon used.
    std::map<std::string, DecayingRatio> m_usualGap;
    std::map<std::string, DecayingRatio> m_usualWork;
};

} // namespace lycheearch
