#include "Routing/ServerSpeeds.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lycheearch {

namespace {

/// Time constant with which observations of a server decay.
constexpr Duration LastingTimeConstant = 30s;
/// Weight of the assumption that a server has the usual speed, in seconds of its work.
constexpr double PriorWeightSeconds = 1;
/// Time constant with which the usual times of this daemon decay.
constexpr Duration UsualTimeConstant = 30s;
/// Work that the usual time must be known from before an observation is compared with it, relative
/// to the work of that observation.
constexpr double MinUsualObservations = 20;
/// Limit of the time of one observation relative to the usual time, in both directions: a stalled
/// answer says little about the speed.
constexpr double MaxObservedRatio = 8;
/// Weight of the time to the beginning of an answer relative to the time between events: it depends
/// on how well the queue of the server is known.
constexpr double AnswerBegunWeight = 0.5;
/// Half-life of a reported slowness of a host.
constexpr Duration HostHalfLife = 350ms;
constexpr Duration HostMeanTimeConstant = 30s;
/// Weight of the assumption that the host is as usual, as a number of reports.
constexpr double HostPriorReports = 4;
/// The speeds of a service are used for this time after a server said something about its host.
constexpr Duration ReportLifetime = 60s;
/// Time between two messages to the other daemons about one server.
constexpr Duration PublishPeriod = 1s;
/// Lasting slowness from which a server counts as slow, and below which it no longer does.
constexpr double SlowFrom = 1.5;
constexpr double SlowUntil = 1.3;
/// Minimum time between two changes of the state of one server.
constexpr Duration MinChangePeriod = 5s;
/// Most kinds of work and servers that are told apart.
constexpr std::size_t MaxKinds = 1024;
constexpr std::size_t MaxSummedServers = 16384;
/// Entries of servers without news are kept for this time.
constexpr Duration MinEntryLifetime = 10s;
/// Bounds of the figures in the reports of other daemons.
constexpr double MaxReportedSeconds = 10'000;
/// Above MaxObservedRatio, for rounding.
constexpr double MaxReportedRatio = 8.01;
constexpr double MaxHostSlowness = 100;
constexpr Duration MaxReportAge = 600s;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

bool isSum(double value)
{
    return std::isfinite(value) && value >= 0 && value <= MaxReportedSeconds;
}

DecayingRatio *usualOf(std::map<std::string, DecayingRatio> &usual, const std::string &kind)
{
    const auto found = usual.find(kind);
    if (found != usual.end()) {
        return &found->second;
    }
    return usual.size() >= MaxKinds
        ? nullptr
        : &usual.try_emplace(kind, DecayingRatio(0, 0, UsualTimeConstant)).first->second;
}

} // namespace

bool isSound(const SpeedReport &report)
{
    const bool soundHost = !report.hostSlowness
        || (std::isfinite(*report.hostSlowness) && *report.hostSlowness > 0
            && *report.hostSlowness <= MaxHostSlowness);
    return soundHost && isSum(report.observedSeconds) && isSum(report.expectedSeconds)
        && report.observedSeconds <= MaxReportedRatio * report.expectedSeconds
        && report.hostAge >= Duration::zero() && report.hostAge <= MaxReportAge;
}

void SpeedReportSum::add(const std::vector<SpeedReport> &reports, TimePoint now)
{
    for (const SpeedReport &report : reports) {
        const bool known = m_entries.contains(report.server.id);
        if (!isSound(report) || (!known && m_entries.size() >= MaxSummedServers)) {
            continue;
        }
        Entry &entry = m_entries[report.server.id];
        if (report.server.startedAt < entry.sum.server.startedAt) {
            continue;
        }
        if (report.server.startedAt > entry.sum.server.startedAt) {
            entry = Entry();
        }
        entry.sum.server = report.server;
        entry.sum.observedSeconds += report.observedSeconds;
        entry.sum.expectedSeconds += report.expectedSeconds;
        const TimePoint hostAt = now - report.hostAge;
        if (report.hostSlowness && (!entry.sum.hostSlowness || hostAt > entry.hostAt)) {
            entry.sum.hostSlowness = report.hostSlowness;
            entry.hostAt = hostAt;
        }
    }
}

std::vector<SpeedReport> SpeedReportSum::take(TimePoint now)
{
    std::vector<SpeedReport> due;
    for (auto &[id, entry] : m_entries) {
        const bool news = entry.sum.expectedSeconds > 0 || entry.sum.hostSlowness;
        if (!news || now - entry.takenAt < m_period) {
            continue;
        }
        entry.sum.hostAge = entry.sum.hostSlowness ? now - entry.hostAt : Duration::zero();
        due.push_back(entry.sum);
        entry.sum = {entry.sum.server, 0, 0, std::nullopt, Duration::zero()};
        entry.takenAt = now;
    }
    std::erase_if(m_entries, [&](const auto &entry) {
        return now - entry.second.takenAt > std::max(m_period, MinEntryLifetime);
    });
    return due;
}

ServerSpeeds::Entry::Entry()
    : lasting(1, PriorWeightSeconds, LastingTimeConstant)
    , hostMean(1, HostPriorReports, HostMeanTimeConstant)
{
}

ServerSpeeds::Entry *ServerSpeeds::entryOf(const ServerRun &server)
{
    Entry &entry = m_entries[server.id];
    if (server.startedAt != 0 && entry.startedAt > server.startedAt) {
        return nullptr;
    }
    if (server.startedAt > entry.startedAt && entry.startedAt != 0) {
        entry = Entry();
    }
    entry.startedAt = std::max(entry.startedAt, server.startedAt);
    return &entry;
}

const ServerSpeeds::Entry *ServerSpeeds::find(const ServerRun &server) const
{
    const auto found = m_entries.find(server.id);
    const bool known = found != m_entries.end()
        && (found->second.startedAt == server.startedAt || found->second.startedAt == 0
            || server.startedAt == 0);
    return known ? &found->second : nullptr;
}

void ServerSpeeds::setHost(Entry &entry, double hostSlowness, TimePoint at, TimePoint now)
{
    entry.hostMean.add(hostSlowness, 1, now);
    entry.host = hostSlowness;
    entry.hostAt = at;
}

void ServerSpeeds::onHostReported(const ServiceId &service, const ServerRun &server,
                                  double hostSlowness, TimePoint now)
{
    Entry *entry = entryOf(server);
    if (entry == nullptr) {
        return;
    }
    m_reportedAt[service] = now;
    setHost(*entry, hostSlowness, now, now);
    entry->hostUnpublished = true;
}

bool ServerSpeeds::usedFor(const ServiceId &service, TimePoint now) const
{
    const auto found = m_reportedAt.find(service);
    return found != m_reportedAt.end() && now - found->second <= ReportLifetime;
}

bool ServerSpeeds::onGap(const ServerRun &server, const std::string &kind, Duration gap,
                         TimePoint now)
{
    DecayingRatio *usual = usualOf(m_usualGap, kind);
    return usual != nullptr && observe(server, *usual, 1, 1, gap, now);
}

bool ServerSpeeds::onAnswerBegun(const ServerRun &server, const std::string &kind, double work,
                                 Duration latency, TimePoint now)
{
    DecayingRatio *usual = usualOf(m_usualWork, kind);
    return usual != nullptr && observe(server, *usual, work, AnswerBegunWeight, latency, now);
}

bool ServerSpeeds::observe(const ServerRun &server, DecayingRatio &usual, double work,
                           double weight, Duration duration, TimePoint now)
{
    Entry *entry = entryOf(server);
    if (entry == nullptr || work <= 0 || duration < Duration::zero()) {
        return false;
    }
    const double observed = seconds(duration) / hostSlowness(*entry, now);
    const bool known = usual.weight(now) >= MinUsualObservations * work;
    const double perWork = known ? usual.value(now) : 0;
    // The usual time is that of a usual server, whichever servers this daemon happened to use.
    usual.add(observed / lastingSlowness(*entry, now), work, now);
    if (perWork <= 0) {
        return false;
    }
    const double expected = weight * perWork * work;
    const double counted =
        std::clamp(weight * observed, expected / MaxObservedRatio, expected * MaxObservedRatio);
    entry->lasting.add(counted, expected, now);
    entry->unpublished.observedSeconds += counted;
    entry->unpublished.expectedSeconds += expected;
    return true;
}

void ServerSpeeds::apply(const ServiceId &service, const SpeedReport &report, TimePoint now)
{
    Entry *entry = isSound(report) ? entryOf(report.server) : nullptr;
    if (entry == nullptr) {
        return;
    }
    if (report.expectedSeconds > 0) {
        entry->lasting.add(report.observedSeconds, report.expectedSeconds, now);
    }
    const TimePoint hostAt = now - report.hostAge;
    if (report.hostSlowness && hostAt > entry->hostAt) {
        setHost(*entry, *report.hostSlowness, hostAt, now);
        TimePoint &reportedAt = m_reportedAt[service];
        reportedAt = std::max(reportedAt, hostAt);
    }
}

std::vector<SpeedReport> ServerSpeeds::takeUnpublished(TimePoint now)
{
    std::vector<SpeedReport> reports;
    for (auto &[id, entry] : m_entries) {
        const bool news = entry.hostUnpublished || entry.unpublished.expectedSeconds > 0;
        if (!news || now - entry.publishedAt < PublishPeriod) {
            continue;
        }
        SpeedReport report = std::exchange(entry.unpublished, SpeedReport());
        report.server = {id, entry.startedAt};
        if (std::exchange(entry.hostUnpublished, false)) {
            report.hostSlowness = entry.host;
            report.hostAge = now - entry.hostAt;
        }
        entry.publishedAt = now;
        reports.push_back(std::move(report));
    }
    return reports;
}

double ServerSpeeds::hostSlowness(const Entry &entry, TimePoint now)
{
    if (entry.hostAt == TimePoint()) {
        return 1;
    }
    const double mean = entry.hostMean.value(now);
    const double held = std::exp2(-seconds(now - entry.hostAt) / seconds(HostHalfLife));
    return std::clamp(mean + (entry.host - mean) * held, MinSlowness, MaxSlowness);
}

double ServerSpeeds::lastingSlowness(const Entry &entry, TimePoint now)
{
    return std::clamp(entry.lasting.value(now), MinSlowness, MaxSlowness);
}

double ServerSpeeds::slowness(const ServerRun &server, TimePoint now) const
{
    const Entry *entry = find(server);
    return entry == nullptr ? 1
                            : std::clamp(lastingSlowness(*entry, now) * hostSlowness(*entry, now),
                                         MinSlowness, MaxSlowness);
}

double ServerSpeeds::lastingSlowness(const ServerRun &server, TimePoint now) const
{
    const Entry *entry = find(server);
    return entry == nullptr ? 1 : lastingSlowness(*entry, now);
}

SpeedChange ServerSpeeds::takeChange(const ServerRun &server, TimePoint now)
{
    Entry *entry = entryOf(server);
    if (entry == nullptr) {
        return SpeedChange::None;
    }
    const double slowness = lastingSlowness(*entry, now);
    const bool slow = slowness >= (entry->knownSlow ? SlowUntil : SlowFrom);
    const bool tooSoon =
        entry->changedAt != TimePoint() && now - entry->changedAt < MinChangePeriod;
    if (slow == entry->knownSlow || tooSoon) {
        return SpeedChange::None;
    }
    entry->knownSlow = slow;
    entry->changedAt = now;
    return slow ? SpeedChange::FoundSlow : SpeedChange::NoLongerSlow;
}

} // namespace lycheearch
