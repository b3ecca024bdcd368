#include "Routing/BackendTable.h"

#include <algorithm>
#include <cmath>

#include "Base/Hash.h"

namespace lycheearch {

namespace {

constexpr double SmoothingFactor = 0.2; ///< Weight of the newest sample in a moving average.
constexpr double EjectionFailureShare = 0.5; ///< Servers with a higher failure share are ejected.
constexpr Duration EjectionDuration = 3s;
constexpr double MaxEjectedShare = 0.5; ///< Share of the servers of a pool.
constexpr double RemoteDelayFactor = 1.5; ///< Factor on the delay of a remote server.
constexpr double AffinityDelayFactor = 0.7; ///< Factor if a cache hit is likely.
constexpr double MinLatencySeconds = 0.001;
constexpr double LimitIncrement = 0.2; ///< Added to the concurrency limit on success.
constexpr double LimitDecreaseFactor = 0.7; ///< Multiplies the concurrency limit on refusal.

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

std::string BackendNeed::pool() const
{
    return version.empty() ? "service " + service.value() : "version " + version.value();
}

BackendClassSpec backendClass(const ConfigState &config, const std::string &name)
{
    const auto found = config.manifest->backendClasses.find(name);
    return found == config.manifest->backendClasses.end() ? BackendClassSpec{} : found->second;
}

BackendTable::BackendTable(DataCentreId ownDataCentre, Duration reportLifetime)
    : m_ownDataCentre(std::move(ownDataCentre))
    , m_reportLifetime(reportLifetime)
{
}

void BackendTable::updateList(const std::vector<InstanceRecord> &instances)
{
    std::lock_guard lock(m_mutex);
    std::set<InstanceId> listed;
    for (const InstanceRecord &instance : instances) {
        if (instance.kind != InstanceKind::Entry) {
            listed.insert(instance.id);
            m_backends[instance.id].instance = instance;
        }
    }
    std::erase_if(m_backends, [&](const auto &item) {
        return !listed.contains(item.first) && item.second.outstanding == 0;
    });
    for (auto &[id, view] : m_backends) {
        if (!listed.contains(id)) {
            view.instance.leaving = true;
        }
    }
}

void BackendTable::report(const InstanceId &backend, const BackendReport &report, TimePoint takenAt)
{
    std::lock_guard lock(m_mutex);
    const auto found = m_backends.find(backend);
    if (found == m_backends.end() || takenAt < found->second.reportedAt) {
        return;
    }
    BackendView &view = found->second;
    if (view.startId != report.startId) {
        view.limit = 1;
        view.failureShare = 0;
    }
    view.startId = report.startId;
    view.cold = report.cold;
    view.versions = report.versions;
    view.reportedInFlight = report.inFlight;
    view.outstandingAtReport = view.outstanding;
    view.reportedAt = takenAt;
    view.known = true;
}

void BackendTable::applyPeerLoadReport(const BackendLoadReport &loadReport, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    const auto found = m_backends.find(loadReport.backend);
    if (found == m_backends.end()) {
        return;
    }
    BackendView &view = found->second;
    const TimePoint takenAt = now - loadReport.age;
    if (!view.known || takenAt < view.reportedAt) {
        return;
    }
    if (view.startId != loadReport.startId) {
        // A peer's load report does not name the versions that a restarted server has loaded.
        view.known = false;
        return;
    }
    view.cold = loadReport.cold;
    view.reportedInFlight = loadReport.inFlight;
    view.outstandingAtReport = view.outstanding;
    view.reportedAt = takenAt;
}

void BackendTable::markUnknown(const InstanceId &backend)
{
    std::lock_guard lock(m_mutex);
    const auto found = m_backends.find(backend);
    if (found != m_backends.end()) {
        found->second.known = false;
    }
}

bool BackendTable::inService(const BackendView &view, const ConfigState &config,
                             TimePoint now) const
{
    return view.known && !view.instance.leaving && now - view.reportedAt <= m_reportLifetime
        && !config.isOutOfService(view.instance.dataCentre)
        && !config.isOutOfService(view.instance.id);
}

bool BackendTable::serves(const BackendView &view, const BackendNeed &need) const
{
    if (need.version.empty()) {
        return view.instance.kind == InstanceKind::Service && view.instance.service == need.service;
    }
    return view.instance.kind == InstanceKind::Engine && view.versions.contains(need.version);
}

int BackendTable::estimatedLoad(const BackendView &view) const
{
    const int others = std::max(0, view.reportedInFlight - view.outstandingAtReport);
    return others + view.outstanding;
}

InstanceId BackendTable::affinityServer(const BackendNeed &need) const
{
    if (need.affinity.empty()) {
        return {};
    }
    std::vector<InstanceId> pool;
    for (const auto &[id, view] : m_backends) {
        if (serves(view, need)) {
            pool.push_back(id);
        }
    }
    const auto best = rendezvous(need.affinity, pool, 1);
    return best.empty() ? InstanceId() : best.front();
}

double BackendTable::expectedDelay(const BackendView &view, const BackendClassSpec &spec,
                                   const InstanceId &affinityBackend) const
{
    const double latency = std::max(view.latencySeconds, MinLatencySeconds);
    double delay = latency * (1.0 + estimatedLoad(view)) / spec.warmLimit;
    if (view.instance.dataCentre != m_ownDataCentre) {
        delay *= RemoteDelayFactor;
    }
    if (affinityBackend == view.instance.id) {
        delay *= AffinityDelayFactor;
    }
    return delay;
}

std::optional<BackendChoice> BackendTable::choose(const BackendNeed &need,
                                                  const ConfigState &config,
                                                  const std::set<InstanceId> &excluded,
                                                  TimePoint now, ChoiceFailure &failure)
{
    std::lock_guard lock(m_mutex);
    failure = ChoiceFailure::NoServer;
    const InstanceId affinityBackend = affinityServer(need);
    BackendView *best = nullptr;
    BackendView *cold = nullptr;
    double bestDelay = 0;
    const auto isLastResort = [&](const BackendView &view) {
        return excluded.contains(view.instance.id) || view.ejectedUntil > now;
    };
    const auto isCandidate = [&](const BackendView &view) {
        return inService(view, config, now) && serves(view, need);
    };
    // Excluded and ejected servers are used only if there are no others.
    const bool hasRegularCandidate =
        std::any_of(m_backends.begin(), m_backends.end(), [&](const auto &item) {
            return isCandidate(item.second) && !isLastResort(item.second);
        });
    for (auto &[id, view] : m_backends) {
        if (!isCandidate(view)) {
            continue;
        }
        failure = ChoiceFailure::AllBusy;
        if (hasRegularCandidate && isLastResort(view)) {
            continue;
        }
        const BackendClassSpec spec = backendClass(config, view.instance.backendClass);
        if (view.cold) {
            const bool local = view.instance.dataCentre == m_ownDataCentre;
            if (local && (cold == nullptr || view.outstanding < cold->outstanding)) {
                cold = &view;
            }
            continue;
        }
        const bool full = estimatedLoad(view) >= spec.warmLimit
            || view.outstanding >= static_cast<int>(std::ceil(view.limit));
        if (full) {
            continue;
        }
        const double delay = expectedDelay(view, spec, affinityBackend);
        if (best == nullptr || delay < bestDelay) {
            best = &view;
            bestDelay = delay;
        }
    }
    BackendView *chosen = best != nullptr ? best : cold;
    if (chosen == nullptr) {
        return std::nullopt;
    }
    failure = ChoiceFailure::None;
    ++chosen->outstanding;
    return BackendChoice{{chosen->instance.id, chosen->instance.address, chosen->startId, false},
                         chosen->cold,
                         chosen->instance.dataCentre};
}

bool BackendTable::mayEject(const BackendView &view, TimePoint now) const
{
    int pool = 0;
    int ejected = 0;
    for (const auto &[id, other] : m_backends) {
        const bool samePool = other.instance.kind == view.instance.kind
            && other.instance.service == view.instance.service
            && other.instance.backendClass == view.instance.backendClass;
        pool += samePool ? 1 : 0;
        ejected += samePool && other.ejectedUntil > now ? 1 : 0;
    }
    return ejected + 1 <= MaxEjectedShare * pool;
}

void BackendTable::release(const InstanceId &backend, BackendResult result, Duration latency,
                           TimePoint now)
{
    std::lock_guard lock(m_mutex);
    const auto found = m_backends.find(backend);
    if (found == m_backends.end()) {
        return;
    }
    BackendView &view = found->second;
    view.outstanding = std::max(0, view.outstanding - 1);
    if (result == BackendResult::Refused) {
        view.limit = std::max(1.0, view.limit * LimitDecreaseFactor);
        return;
    }
    if (result == BackendResult::Cancelled) {
        return;
    }
    const double failed = result == BackendResult::Failed ? 1.0 : 0.0;
    view.failureShare += SmoothingFactor * (failed - view.failureShare);
    if (result == BackendResult::Success) {
        view.limit += LimitIncrement;
        const double sample = seconds(latency);
        view.latencySeconds = view.latencySeconds == 0
            ? sample
            : view.latencySeconds + SmoothingFactor * (sample - view.latencySeconds);
        return;
    }
    if (view.failureShare > EjectionFailureShare && mayEject(view, now)) {
        view.ejectedUntil = now + EjectionDuration;
        view.failureShare = 0;
    }
}

std::set<VersionId> BackendTable::usableVersions(const ConfigState &config, TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    std::set<VersionId> versions;
    for (const auto &[id, view] : m_backends) {
        if (inService(view, config, now)) {
            versions.insert(view.versions.begin(), view.versions.end());
        }
    }
    return versions;
}

std::vector<InstanceRecord> BackendTable::backendRecords() const
{
    std::lock_guard lock(m_mutex);
    std::vector<InstanceRecord> records;
    for (const auto &[id, view] : m_backends) {
        records.push_back(view.instance);
    }
    return records;
}

std::vector<BackendView> BackendTable::views() const
{
    std::lock_guard lock(m_mutex);
    std::vector<BackendView> all;
    for (const auto &[id, view] : m_backends) {
        all.push_back(view);
    }
    return all;
}

std::optional<BackendView> BackendTable::view(const InstanceId &backend) const
{
    std::lock_guard lock(m_mutex);
    const auto found = m_backends.find(backend);
    return found == m_backends.end() ? std::nullopt : std::optional(found->second);
}

std::vector<BackendLoadReport> BackendTable::coldLoadReports(TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    std::vector<BackendLoadReport> reports;
    for (const auto &[id, view] : m_backends) {
        if (view.known && view.cold && now - view.reportedAt <= m_reportLifetime) {
            reports.push_back(
                {id, view.startId, view.cold, view.reportedInFlight, now - view.reportedAt});
        }
    }
    return reports;
}

} // namespace lycheearch
