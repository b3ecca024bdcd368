#include "Routing/BackendPicker.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "Base/Hash.h"

namespace lycheearch {

namespace {

/// Backoff after the first failure; doubles with each consecutive one.
constexpr Duration InitialExclusion = 400ms;
constexpr Duration MaxExclusion = 4s;
/// Weight of the newest outcome in the moving average of the failure rate.
constexpr double FailureRateSmoothing = 0.15;
/// A server whose failure rate exceeds the mean of the other servers by this much is excluded.
constexpr double FailureExcess = 0.3;
constexpr int MinSamplesForExclusion = 6;
/// A server is excluded if at least this many other daemons cannot reach it and it has not answered
/// this one within RecentAnswerAge.
constexpr int UnreachableReportsForExclusion = 2;
constexpr Duration RecentAnswerAge = 1s;
/// A data centre is excluded once this many of its servers are unresponsive and none has answered
/// since.
constexpr std::size_t SilentServersForExclusion = 2;
constexpr int MaxBackoffDoublings = 5;
/// A load reported by a server expires after this time.
constexpr Duration ReportLifetime = 2s;
/// The load of the other daemons expires after this time.
constexpr Duration OtherDaemonsLoadLifetime = 1500ms;
/// Penalty of a server in another data centre, in requests per slot.
constexpr double RemotePenaltyLoad = 0.35;
/// Delay that each request in flight adds to later requests, in prompt tokens.
constexpr double InFlightRequestTokens = 60;
/// Weight of the newest prompt in the moving average of prefill tokens.
constexpr double MeanPrefillSmoothing = 0.05;
/// Load of a server, in requests per slot, up to which a new request is expected to get a slot at
/// once.
constexpr double UncontendedLoad = 0.8;
/// Delay that each request above UncontendedLoad adds to later requests, in prompt tokens: a slot
/// becomes free a few times per second.
constexpr double SlotWaitTokens = 1000;

/// Weight of less urgent work in the backlog of a request. It is not 0, because the engine finishes
/// a prefill that it has begun.
constexpr double LessUrgentWeight = 0.25;

/// Expected number of tokens that are prefilled before a request of the given urgency class.
double tokensAhead(const TokensByUrgency &tokens, int urgency)
{
    double ahead = 0;
    for (int i = 0; i < UrgencyClassCount; ++i) {
        ahead += (i <= urgency ? 1 : LessUrgentWeight) * tokens.at(static_cast<std::size_t>(i));
    }
    return ahead;
}

double sumOf(const TokensByUrgency &tokens)
{
    return std::accumulate(tokens.begin(), tokens.end(), 0.0);
}

const char *sourceName(PromptSource source)
{
    switch (source) {
    case PromptSource::Cached:
        return "cached";
    case PromptSource::Copied:
        return "copied";
    case PromptSource::Prefilled:
        break;
    }
    return "read";
}

PickFault faultOf(SendPermission permission)
{
    switch (permission) {
    case SendPermission::Paused:
        return PickFault::AllPaused;
    case SendPermission::Cold:
        return PickFault::AllCold;
    case SendPermission::RateLimited:
        return PickFault::AllRateLimited;
    case SendPermission::Full:
        return PickFault::AllFull;
    case SendPermission::Allowed:
        break;
    }
    return PickFault::None;
}

void subtractTokens(TokensByUrgency &tokens, int urgency, double amount)
{
    double &sum = tokens.at(static_cast<std::size_t>(urgency));
    sum = std::max(0.0, sum - amount);
}

} // namespace

BackendPicker::BackendPicker(const InstanceId &self, DataCentreId ownDataCentre)
    : m_ownDataCentre(std::move(ownDataCentre))
    , m_rateLimiter(self)
    , m_placement(self)
{
}

std::optional<Pick> BackendPicker::pick(const PickRequest &request, const FleetView &view,
                                        TimePoint now, PickFault &fault)
{
    std::vector<Candidate> candidates = collectCandidates(request, view, now, fault);
    if (candidates.empty()) {
        return std::nullopt;
    }
    fault = PickFault::None;
    const auto isExcluded = [](const Candidate &candidate) { return candidate.excluded; };
    if (!std::all_of(candidates.begin(), candidates.end(), isExcluded)) {
        std::erase_if(candidates, isExcluded);
    }
    keepRotatedServers(request.versions, candidates);
    const bool speedsUsed = m_speeds.usedFor(request.service, now);
    if (speedsUsed) {
        setSpeeds(candidates, now);
    }
    return request.engine ? pickForPrompt(request, candidates, now)
                          : pickLeastLoaded(candidates, speedsUsed);
}

void BackendPicker::setSpeeds(std::vector<Candidate> &candidates, TimePoint now) const
{
    for (Candidate &candidate : candidates) {
        const ServerRun run{candidate.state->report.id, candidate.state->report.startedAt};
        candidate.slowness = m_speeds.slowness(run, now);
        candidate.lastingSlowness = m_speeds.lastingSlowness(run, now);
    }
}

bool BackendPicker::matches(const BackendState &state, const PickRequest &request,
                            const FleetView &view) const
{
    const BackendEntry &report = state.report;
    return report.service == request.service && !state.draining
        && !m_rateLimiter.notices().leaving({report.id, report.startedAt})
        && !view.evacuated(report.dataCentre) && !request.disallowedBackends.contains(report.id)
        && request.versions.allows(report.version);
}

void BackendPicker::keepRotatedServers(const VersionRule &versions,
                                       std::vector<Candidate> &candidates)
{
    if (versions.serverShare >= 1) {
        return;
    }
    const double wanted = std::floor(versions.serverShare * static_cast<double>(candidates.size()));
    const auto kept =
        std::clamp<std::size_t>(static_cast<std::size_t>(wanted), 1, candidates.size());
    const auto rank = [&](const Candidate &candidate) {
        return mixBits(stableHash(candidate.state->report.id.value()) ^ mixBits(versions.rotation));
    };
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(kept),
                      candidates.end(), [&](const Candidate &left, const Candidate &right) {
                          return rank(left) < rank(right);
                      });
    candidates.resize(kept);
}

std::vector<BackendPicker::Candidate> BackendPicker::collectCandidates(const PickRequest &request,
                                                                       const FleetView &view,
                                                                       TimePoint now,
                                                                       PickFault &fault)
{
    std::vector<Candidate> candidates;
    fault = PickFault::NoBackend;
    for (const auto &[id, state] : view.backends()) {
        if (!matches(state, request, view)) {
            continue;
        }
        Health &health = m_health[id];
        detectRestart(state, health);
        Place &place = m_places[id];
        if (place.service != state.report.service || place.dataCentre != state.report.dataCentre) {
            place = {state.report.service, state.report.dataCentre};
        }
        if (isDataCentreExcluded(state.report.dataCentre, now)) {
            fault = PickFault::AllSilent;
            continue;
        }
        const BackendLoadShare *others = otherDaemonsLoad(id, now);
        const double load = loadOf(health, state, others, now);
        const ServerLoad requests{health.inFlight, load * std::max(1, state.report.slots)};
        const SendPermission permission = m_rateLimiter.permission(state, requests, now);
        if (permission != SendPermission::Allowed) {
            fault = faultOf(permission);
            continue;
        }
        const double ownLoad =
            static_cast<double>(health.inFlight) / std::max(1, state.report.slots);
        candidates.push_back(
            {&state, &health, others, m_rateLimiter.takesTurns(state) ? ownLoad : load,
             state.report.dataCentre == m_ownDataCentre, isExcluded(health, others, now)});
    }
    return candidates;
}

void BackendPicker::detectRestart(const BackendState &state, Health &health)
{
    if (health.startedAt != 0 && health.startedAt != state.report.startedAt) {
        m_promptCacheIndex.removeBackend(state.report.id);
    }
    health.unreadableLoad = health.unreadableLoad && health.startedAt == state.report.startedAt;
    health.startedAt = state.report.startedAt;
}

Pick BackendPicker::pickForPrompt(const PickRequest &request,
                                  const std::vector<Candidate> &candidates, TimePoint now)
{
    std::vector<PromptCandidate> promptCandidates;
    promptCandidates.reserve(candidates.size());
    double totalBacklog = 0;
    for (const Candidate &candidate : candidates) {
        const double slotWait = slotWaitCost(candidate);
        promptCandidates.push_back(
            {candidate.state->report.id, candidate.state->report.dataCentre,
             candidate.state->report.version,
             backlogTokens(candidate, request.urgency, request.service, now) + slotWait,
             candidate.local, candidate.slowness, candidate.lastingSlowness});
        totalBacklog += candidate.slowness
            * (backlogTokens(candidate, UrgencyClassCount - 1, request.service, now) + slotWait);
    }
    const PromptChoice choice =
        m_placement.choose(request.prompt, promptCandidates, m_promptCacheIndex, now);
    const Candidate &best = candidates[choice.candidate];
    return {best.state->report.id,
            best.load,
            promptCandidates[choice.candidate].backlog,
            choice.prefillTokens,
            totalBacklog / static_cast<double>(candidates.size()),
            best.local,
            static_cast<int>(candidates.size()),
            sourceName(choice.source),
            choice.source == PromptSource::Copied
                ? std::optional(candidates[choice.copyFrom].state->report.id)
                : std::nullopt,
            best.slowness};
}

const BackendLoadShare *BackendPicker::otherDaemonsLoad(const InstanceId &id, TimePoint now) const
{
    static constexpr BackendLoadShare emptyLoad;
    if (m_otherDaemonsLoadsAt == TimePoint()
        || now - m_otherDaemonsLoadsAt > OtherDaemonsLoadLifetime) {
        return nullptr;
    }
    const auto found = m_otherDaemonsLoads.find(id);
    return found == m_otherDaemonsLoads.end() ? &emptyLoad : &found->second;
}

double BackendPicker::backlogTokens(const Candidate &candidate, int urgency,
                                    const ServiceId &service, TimePoint now) const
{
    const Health &health = *candidate.health;
    if (const BackendLoadShare *others = candidate.others) {
        return tokensAhead(health.unanswered, urgency) + tokensAhead(others->tokens, urgency)
            + InFlightRequestTokens * (health.inFlight + others->requests);
    }
    if (health.reportedAt == TimePoint() || now - health.reportedAt > ReportLifetime) {
        return tokensAhead(health.unanswered, urgency) + InFlightRequestTokens * health.inFlight;
    }
    const auto mean = m_meanPrefillTokens.find(service);
    const double waiting = health.waiting * (mean == m_meanPrefillTokens.end() ? 0 : mean->second);
    const double unanswered = sumOf(health.unanswered);
    const double unansweredSinceReport = std::max(0.0, unanswered - health.unansweredAtReport);
    const int running = std::max(health.inFlight, health.running);
    return std::max(unanswered, waiting + unansweredSinceReport) + InFlightRequestTokens * running;
}

double BackendPicker::slotWaitCost(const Candidate &candidate)
{
    const double excessLoad = std::max(0.0, candidate.load - UncontendedLoad);
    return SlotWaitTokens * excessLoad * std::max(1, candidate.state->report.slots);
}

bool BackendPicker::isDataCentreExcluded(const DataCentreId &dataCentre, TimePoint now) const
{
    const auto found = m_dataCentreHealth.find(dataCentre);
    return found != m_dataCentreHealth.end() && found->second.excludedUntil > now;
}

bool BackendPicker::isExcluded(const Health &health, const BackendLoadShare *others, TimePoint now)
{
    if (health.excludedUntil > now) {
        return true;
    }
    if (others != nullptr && others->leaving > 0) {
        return true;
    }
    const bool answeredRecently =
        health.lastAnswerAt != TimePoint() && now - health.lastAnswerAt < RecentAnswerAge;
    return others != nullptr && others->unreachable >= UnreachableReportsForExclusion
        && !answeredRecently;
}

Pick BackendPicker::pickLeastLoaded(const std::vector<Candidate> &candidates, bool speedsUsed)
{
    const Candidate *best = nullptr;
    double bestCost = 0;
    std::uint64_t bestTie = 0;
    ++m_tieBreak;
    for (const Candidate &candidate : candidates) {
        // With different speeds, the request's own share of the load counts as well.
        const double ownLoad = speedsUsed ? 1.0 / std::max(1, candidate.state->report.slots) : 0.0;
        const double cost = (candidate.load + ownLoad) * candidate.slowness
            + (candidate.local ? 0 : RemotePenaltyLoad);
        const std::uint64_t tie =
            mixBits(m_tieBreak ^ stableHash(candidate.state->report.id.value()));
        if (best == nullptr || cost < bestCost || (cost == bestCost && tie > bestTie)) {
            best = &candidate;
            bestCost = cost;
            bestTie = tie;
        }
    }
    return {best->state->report.id,
            best->load,
            0,
            0,
            0,
            best->local,
            static_cast<int>(candidates.size()),
            "least",
            std::nullopt,
            best->slowness};
}

double BackendPicker::loadOf(const Health &health, const BackendState &state,
                             const BackendLoadShare *others, TimePoint now)
{
    double requests = health.inFlight;
    if (others != nullptr) {
        requests += others->requests;
    } else if (now - health.reportedAt < ReportLifetime && health.reportedAt != TimePoint()) {
        requests = std::max<double>(
            requests, health.running + health.waiting + health.inFlight - health.inFlightAtReport);
    }
    return requests / std::max(1, state.report.slots);
}

void BackendPicker::onSent(const Pick &pick, const PickRequest &request, TimePoint now)
{
    Health &health = m_health[pick.backend];
    ++health.inFlight;
    health.unanswered.at(static_cast<std::size_t>(request.urgency)) += pick.prefillTokens;
    m_rateLimiter.onSent(runOf(pick.backend), now);
    double &mean = m_meanPrefillTokens[request.service];
    mean += MeanPrefillSmoothing * (pick.prefillTokens - mean);
    if (request.prompt.affinity != 0 && request.prompt.sharedTokens != 0) {
        m_promptCacheIndex.recordSend({request.prompt.affinity, pick.backend},
                                      request.prompt.sharedTokens, now);
    }
}

void BackendPicker::onFirstByte(const InstanceId &id, int urgency, double prefillTokens,
                                TimePoint now)
{
    Health &health = m_health[id];
    subtractTokens(health.unanswered, urgency, prefillTokens);
    health.lastAnswerAt = now;
    m_dataCentreHealth[m_places[id].dataCentre] = DataCentreHealth();
}

void BackendPicker::onReached(const InstanceId &id, TimePoint begunAt)
{
    const auto place = m_places.find(id);
    if (place == m_places.end() || !m_reach.onReached(place->second.service, id, begunAt)) {
        return;
    }
    // The connections failed because of this daemon's links.
    for (const auto &[other, otherPlace] : m_places) {
        if (otherPlace.service == place->second.service) {
            Health &health = m_health[other];
            health.excludedUntil = TimePoint();
            health.consecutiveExclusions = 0;
            health.connectionFailed = false;
            m_dataCentreHealth[otherPlace.dataCentre] = DataCentreHealth();
        }
    }
}

ServiceReach::Servers BackendPicker::serversOf(const ServiceId &service) const
{
    ServiceReach::Servers servers;
    for (const auto &[id, place] : m_places) {
        if (place.service == service) {
            servers.emplace(id, place.dataCentre);
        }
    }
    return servers;
}

void BackendPicker::recordConnectFailure(const InstanceId &id, TimePoint now)
{
    const auto place = m_places.find(id);
    if (place != m_places.end()) {
        const ServiceId service = place->second.service;
        m_reach.onConnectFailed(service, id, serversOf(service), now);
    }
}

void BackendPicker::exclude(Health &health, TimePoint now)
{
    const int doublings = std::min(health.consecutiveExclusions, MaxBackoffDoublings);
    ++health.consecutiveExclusions;
    health.excludedUntil = now + std::min(InitialExclusion * (1 << doublings), MaxExclusion);
}

void BackendPicker::recordSilentServer(const InstanceId &id, TimePoint now)
{
    const auto found = m_places.find(id);
    if (found == m_places.end()) {
        return;
    }
    DataCentreHealth &dataCentreHealth = m_dataCentreHealth[found->second.dataCentre];
    dataCentreHealth.silentServers.insert(id);
    if (dataCentreHealth.silentServers.size() >= SilentServersForExclusion) {
        const int doublings =
            std::min(dataCentreHealth.consecutiveExclusions++, MaxBackoffDoublings);
        dataCentreHealth.excludedUntil =
            now + std::min(InitialExclusion * (1 << doublings), MaxExclusion);
    }
}

void BackendPicker::onEnded(const InstanceId &id, SendOutcome outcome, int urgency,
                            double unansweredTokens, TimePoint now)
{
    Health &health = m_health[id];
    subtractTokens(health.unanswered, urgency, unansweredTokens);
    health.inFlight = std::max(0, health.inFlight - 1);
    if (outcome == SendOutcome::Cancelled || outcome == SendOutcome::Moved) {
        return;
    }
    const bool failed = outcome == SendOutcome::ServerFailed || outcome == SendOutcome::Broken
        || outcome == SendOutcome::Reset || outcome == SendOutcome::Unreachable
        || outcome == SendOutcome::Silent || outcome == SendOutcome::Hung;
    health.failureRate += FailureRateSmoothing * ((failed ? 1.0 : 0.0) - health.failureRate);
    ++health.samples;
    if (outcome == SendOutcome::Unreachable || outcome == SendOutcome::Silent) {
        recordConnectFailure(id, now);
    }
    switch (outcome) {
    case SendOutcome::Served:
        health.consecutiveExclusions = 0;
        health.connectionFailed = false;
        health.lastAnswerAt = now;
        m_dataCentreHealth[m_places[id].dataCentre] = DataCentreHealth();
        break;
    case SendOutcome::Silent:
        recordSilentServer(id, now);
        [[fallthrough]];
    case SendOutcome::Unreachable:
    case SendOutcome::Reset:
    case SendOutcome::Misdirected:
        health.connectionFailed = true;
        exclude(health, now);
        break;
    case SendOutcome::Hung:
        exclude(health, now);
        break;
    case SendOutcome::Broken:
    case SendOutcome::ServerFailed: {
        double total = 0;
        int otherServers = 0;
        for (const auto &[other, state] : m_health) {
            if (other != id && state.samples > 0) {
                total += state.failureRate;
                ++otherServers;
            }
        }
        const double meanFailureRate = otherServers > 0 ? total / otherServers : 0;
        if (health.samples >= MinSamplesForExclusion
            && health.failureRate > meanFailureRate + FailureExcess) {
            exclude(health, now);
        }
        break;
    }
    case SendOutcome::Overloaded:
        m_rateLimiter.notices().onRejected(runOf(id), now);
        health.excludedUntil = now + InitialExclusion / 4;
        break;
    case SendOutcome::Moved:
    case SendOutcome::Cancelled:
        break;
    }
}

void BackendPicker::onLoadReported(const InstanceId &id, int running, int waiting, TimePoint now)
{
    Health &health = m_health[id];
    health.running = running;
    health.waiting = waiting;
    health.inFlightAtReport = health.inFlight;
    health.unansweredAtReport = sumOf(health.unanswered);
    health.reportedAt = now;
}

ServerRun BackendPicker::runOf(const InstanceId &id)
{
    return {id, m_health[id].startedAt};
}

void BackendPicker::onHostReported(const InstanceId &id, double hostSlowness, TimePoint now)
{
    const auto place = m_places.find(id);
    if (place != m_places.end()) {
        m_speeds.onHostReported(place->second.service, runOf(id), hostSlowness, now);
    }
}

bool BackendPicker::onUnreadableLoad(const InstanceId &id)
{
    return !std::exchange(m_health[id].unreadableLoad, true);
}

bool BackendPicker::speedsUsedFor(const InstanceId &id, TimePoint now) const
{
    const auto place = m_places.find(id);
    return place != m_places.end() && m_speeds.usedFor(place->second.service, now);
}

bool BackendPicker::onAnswerBegun(const InstanceId &id, const std::string &kind, double work,
                                  Duration latency, TimePoint now)
{
    return speedsUsedFor(id, now) && m_speeds.onAnswerBegun(runOf(id), kind, work, latency, now);
}

bool BackendPicker::onGap(const InstanceId &id, const std::string &kind, Duration gap,
                          TimePoint now)
{
    return speedsUsedFor(id, now) && m_speeds.onGap(runOf(id), kind, gap, now);
}

SpeedChange BackendPicker::takeSpeedChange(const InstanceId &id, TimePoint now)
{
    return m_speeds.takeChange(runOf(id), now);
}

double BackendPicker::lastingSlowness(const InstanceId &id, TimePoint now)
{
    return m_speeds.lastingSlowness(runOf(id), now);
}

void BackendPicker::applySpeeds(const std::vector<SpeedReport> &reports, TimePoint now)
{
    for (const SpeedReport &report : reports) {
        const auto place = m_places.find(report.server.id);
        if (place != m_places.end()) {
            m_speeds.apply(place->second.service, report, now);
        }
    }
}

bool BackendPicker::onLeaving(const InstanceId &id, TimePoint now)
{
    return m_rateLimiter.notices().onLeaving(runOf(id), now);
}

void BackendPicker::onPauseRequested(const InstanceId &id, Duration pause, TimePoint now)
{
    m_rateLimiter.notices().onPauseRequested(runOf(id), pause, now);
}

bool BackendPicker::onRateLimit(const InstanceId &id, std::optional<double> perSecond,
                                TimePoint now)
{
    return m_rateLimiter.notices().onRateLimit(runOf(id), perSecond, now);
}

bool BackendPicker::onBrittle(const InstanceId &id, std::optional<double> maxRejections,
                              TimePoint now)
{
    return m_rateLimiter.notices().onBrittle(runOf(id), maxRejections, now);
}

RoomForecast BackendPicker::roomForecast(const PickRequest &request, const FleetView &view,
                                         TimePoint now) const
{
    const ServerNotices &notices = m_rateLimiter.notices();
    RoomForecast forecast;
    for (const auto &[id, state] : view.backends()) {
        if (!matches(state, request, view)) {
            continue;
        }
        const ServerRun server{id, state.report.startedAt};
        const Duration pause = notices.pauseLeft(server, now);
        const Duration shortest = forecast.shortestPause;
        if (pause > Duration::zero() && (shortest == Duration::zero() || pause < shortest)) {
            forecast.shortestPause = pause;
        }
        forecast.limitedRate += notices.rateLimit(server).value_or(0);
    }
    return forecast;
}

ServiceOccupancy BackendPicker::occupancy(const PickRequest &request, const FleetView &view,
                                          TimePoint now) const
{
    ServiceOccupancy occupancy;
    for (const auto &[id, state] : view.backends()) {
        if (!matches(state, request, view) || isDataCentreExcluded(state.report.dataCentre, now)) {
            continue;
        }
        const int slots = std::max(1, state.report.slots);
        const auto found = m_health.find(id);
        const Health health = found == m_health.end() ? Health() : found->second;
        const BackendLoadShare *others = otherDaemonsLoad(id, now);
        if (isExcluded(health, others, now)) {
            continue;
        }
        occupancy.places += slots;
        occupancy.taken += loadOf(health, state, others, now) * slots;
        if (health.reportedAt != TimePoint() && now - health.reportedAt < ReportLifetime) {
            occupancy.waiting += health.waiting;
        }
    }
    occupancy.age = now - m_otherDaemonsLoadsAt;
    return occupancy;
}

BackendLoads BackendPicker::ownLoads(TimePoint now) const
{
    BackendLoads loads;
    for (const auto &[id, health] : m_health) {
        const bool failed = health.connectionFailed && health.excludedUntil > now;
        if (health.inFlight == 0 && !failed) {
            continue; // Most servers of a large fleet.
        }
        const auto place = m_places.find(id);
        const bool cutOff = place != m_places.end() && m_reach.cutOff(place->second.service);
        const bool unreachable = failed && !cutOff;
        if (health.inFlight > 0 || unreachable) {
            loads[id] = {health.unanswered, health.inFlight, unreachable ? 1 : 0};
        }
    }
    for (const InstanceId &id : m_rateLimiter.notices().leavingServers()) {
        loads[id].leaving = 1;
    }
    return loads;
}

void BackendPicker::setOtherDaemonsLoads(BackendLoads loads, TimePoint now)
{
    m_otherDaemonsLoads = std::move(loads);
    m_otherDaemonsLoadsAt = now;
}

void BackendPicker::changeOtherDaemonsLoads(const BackendLoads &changes, TimePoint now)
{
    applyChangedLoads(m_otherDaemonsLoads, changes);
    m_otherDaemonsLoadsAt = now;
}

void BackendPicker::prune(const FleetView &view, TimePoint now)
{
    m_rateLimiter.prune(view, now);
    m_speeds.eraseIf([&](const InstanceId &id) { return view.backend(id) == nullptr; });
    std::erase_if(m_health, [&](const auto &entry) {
        return view.backend(entry.first) == nullptr && entry.second.inFlight == 0;
    });
    std::erase_if(m_places, [&](const auto &entry) {
        const BackendState *state = view.backend(entry.first);
        return state == nullptr || state->draining;
    });
}

} // namespace lycheearch
