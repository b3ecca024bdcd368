#include "Routing/BackendPicker.h"

#include <algorithm>
#include <numeric>

#include "Base/Hash.h"

namespace lycheearch {

namespace {

/// Pause after the first failure in a row; doubles with each further one.
constexpr Duration FirstExclusion = 400ms;
constexpr Duration LongestExclusion = 4s;
/// Weight of the newest outcome in the moving average of failures.
constexpr double FailureWeight = 0.15;
/// A server that fails this much more often than its peers is left out for a while.
constexpr double FailureExcess = 0.3;
constexpr int SamplesForExclusion = 6;
/// A server that so many other daemons find unreachable is left out, unless this one heard from it.
constexpr int DaemonsForExclusion = 2;
constexpr Duration HeardLately = 1s;
/// A data centre is left out for a while once so many of its servers fell silent and none answered.
constexpr std::size_t ServersForSilentPlace = 2;
constexpr int MostDoublings = 5;
/// A reported load is believed for this long.
constexpr Duration ReportLifetime = 2s;
/// What other daemons told of their load is believed for this long.
constexpr Duration OthersLifetime = 1500ms;
/// Extra load, in slots, that a server in another data centre stands for.
constexpr double RemotePenalty = 0.35;
/// What a server in another data centre costs, in prompt tokens.
constexpr double RemoteTokens = 500;
/// What each running request costs those that come after it, in prompt tokens.
constexpr double RunningTokens = 60;
/// What reading a shared token again costs at least, however small the model: it takes the place
/// of other parts in the cache.
constexpr double LeastMissWeight = 0.4;
/// A shared part stays cached at least this long after its last use.
constexpr Duration CacheMemory = 15s;
constexpr std::size_t MostRememberedVisits = 4096;
/// Weight of the newest prompt in the mean.
constexpr double MeanWeight = 0.05;
/// Daemons that may have joined without this one's knowledge, as a part of the known ones.
constexpr double UnknownDaemons = 0.25;
/// How long a daemon's turn at a cold server lasts.
constexpr Duration ColdTurn = 200ms;
/// Latest sends to a server that are remembered.
constexpr std::size_t RememberedSends = 16;

/// Work that is less urgent delays a request by this part only: what is being read already.
constexpr double LessUrgentPart = 0.25;

std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33);
}

} // namespace

namespace {

/// Tokens that are read before those of a request of a class of urgency.
double tokensAhead(const TokensByUrgency &tokens, int urgency)
{
    double ahead = 0;
    for (int i = 0; i < UrgencyClasses; ++i) {
        ahead += (i <= urgency ? 1 : LessUrgentPart) * tokens.at(static_cast<std::size_t>(i));
    }
    return ahead;
}

double sumOf(const TokensByUrgency &tokens)
{
    return std::accumulate(tokens.begin(), tokens.end(), 0.0);
}

void takeOut(TokensByUrgency &tokens, int urgency, double part)
{
    double &sum = tokens.at(static_cast<std::size_t>(urgency));
    sum = std::max(0.0, sum - part);
}

} // namespace

BackendPicker::BackendPicker(const InstanceId &self, DataCentreId home)
    : m_phase(stableHash("cold/" + self.value()))
    , m_home(std::move(home))
{
}

std::optional<Pick> BackendPicker::pick(const PickRequest &request, const FleetView &view,
                                        TimePoint now, PickFault &fault)
{
    std::vector<Candidate> candidates = collect(request, view, now, fault);
    if (candidates.empty()) {
        return std::nullopt;
    }
    fault = PickFault::None;
    const auto isExcluded = [](const Candidate &candidate) { return candidate.excluded; };
    if (!std::all_of(candidates.begin(), candidates.end(), isExcluded)) {
        std::erase_if(candidates, isExcluded);
    }
    return request.engine ? pickForPrompt(request, candidates, now) : pickLeastLoaded(candidates);
}

std::vector<BackendPicker::Candidate> BackendPicker::collect(const PickRequest &request,
                                                             const FleetView &view, TimePoint now,
                                                             PickFault &fault)
{
    std::vector<Candidate> candidates;
    fault = PickFault::NoBackend;
    for (const auto &[id, state] : view.backends()) {
        if (state.report.service != request.service || state.draining
            || view.evacuated(state.report.dataCentre) || request.avoid.contains(id)
            || !request.versions.allows(state.report.version)) {
            continue;
        }
        Health &health = m_health[id];
        m_placeOf[id] = state.report.dataCentre;
        if (placeIsSilent(state.report.dataCentre, now)) {
            fault = PickFault::AllSilent;
            continue;
        }
        if (!coldAllows(state, health, now)) {
            fault = PickFault::AllCold;
            continue;
        }
        candidates.push_back({&state, &health, loadOf(health, state, now),
                              state.report.dataCentre == m_home, isExcluded(id, health, now)});
    }
    return candidates;
}

Pick BackendPicker::pickForPrompt(const PickRequest &request, std::vector<Candidate> &candidates,
                                  TimePoint now) const
{
    std::uint64_t topWeight = 0;
    for (Candidate &candidate : candidates) {
        candidate.weight = mix(request.affinity ^ stableHash(candidate.state->report.id.value()));
        topWeight = std::max(topWeight, candidate.weight);
    }
    const double missWeight = LeastMissWeight + (1 - LeastMissWeight) * request.tokenWeight;
    const Candidate *best = nullptr;
    double bestCost = 0;
    double bestBacklog = 0;
    bool bestCached = false;
    for (const Candidate &candidate : candidates) {
        const double backlog = backlogTokens(candidate, request, now);
        const bool cached = request.affinity != 0
            && (candidate.weight == topWeight
                || visitedLately(request.affinity, candidate.state->report.id, now));
        const double cost = backlog
            + (cached ? 0 : missWeight * static_cast<double>(request.sharedTokens))
            + (candidate.local ? 0 : RemoteTokens);
        if (best == nullptr || cost < bestCost
            || (cost == bestCost && candidate.weight > best->weight)) {
            best = &candidate;
            bestCost = cost;
            bestBacklog = backlog;
            bestCached = cached;
        }
    }
    const std::int64_t toRead = request.promptTokens - (bestCached ? request.sharedTokens : 0);
    return {best->state->report.id,
            best->load,
            bestBacklog,
            bestBacklog + request.tokenWeight * static_cast<double>(toRead),
            best->local,
            static_cast<int>(candidates.size()),
            bestCached ? "cached" : (request.affinity != 0 ? "spill" : "least")};
}

const BackendLoadShare *BackendPicker::othersLoad(const InstanceId &id, TimePoint now) const
{
    static constexpr BackendLoadShare nothing;
    if (m_othersAt == TimePoint() || now - m_othersAt > OthersLifetime) {
        return nullptr;
    }
    const auto found = m_others.find(id);
    return found == m_others.end() ? &nothing : &found->second;
}

double BackendPicker::backlogTokens(const Candidate &candidate, const PickRequest &request,
                                    TimePoint now) const
{
    const Health &health = *candidate.health;
    if (const BackendLoadShare *others = othersLoad(candidate.state->report.id, now)) {
        return tokensAhead(health.unanswered, request.urgency)
            + tokensAhead(others->tokens, request.urgency)
            + RunningTokens * (health.inFlight + others->requests);
    }
    if (health.reportedAt == TimePoint() || now - health.reportedAt > ReportLifetime) {
        return tokensAhead(health.unanswered, request.urgency) + RunningTokens * health.inFlight;
    }
    const auto mean = m_meanPromptTokens.find(request.service);
    const double waiting = health.waiting * (mean == m_meanPromptTokens.end() ? 0 : mean->second);
    const double unanswered = sumOf(health.unanswered);
    const double since = std::max(0.0, unanswered - health.unansweredAtReport);
    const int running = std::max(health.inFlight, health.running);
    return std::max(unanswered, waiting + since) + RunningTokens * running;
}

bool BackendPicker::placeIsSilent(const DataCentreId &dataCentre, TimePoint now) const
{
    const auto found = m_places.find(dataCentre);
    return found != m_places.end() && found->second.excludedUntil > now;
}

bool BackendPicker::isExcluded(const InstanceId &id, const Health &health, TimePoint now) const
{
    if (health.excludedUntil > now) {
        return true;
    }
    const BackendLoadShare *others = othersLoad(id, now);
    const bool heardLately = health.heardAt != TimePoint() && now - health.heardAt < HeardLately;
    return others != nullptr && others->unreachable >= DaemonsForExclusion && !heardLately;
}

bool BackendPicker::visitedLately(std::uint64_t affinity, const InstanceId &id, TimePoint now) const
{
    const auto found = m_visits.find(affinity);
    return found != m_visits.end()
        && std::any_of(found->second.begin(), found->second.end(), [&](const Visit &visit) {
               return visit.backend == id && now - visit.at < CacheMemory;
           });
}

Pick BackendPicker::pickLeastLoaded(const std::vector<Candidate> &candidates)
{
    const Candidate *best = nullptr;
    double bestCost = 0;
    std::uint64_t bestTie = 0;
    ++m_tieBreak;
    for (const Candidate &candidate : candidates) {
        const double cost = candidate.load + (candidate.local ? 0 : RemotePenalty);
        const std::uint64_t tie = mix(m_tieBreak ^ stableHash(candidate.state->report.id.value()));
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
            best->local,
            static_cast<int>(candidates.size()),
            "least"};
}

double BackendPicker::loadOf(const Health &health, const BackendState &state, TimePoint now) const
{
    double requests = health.inFlight;
    if (const BackendLoadShare *others = othersLoad(state.report.id, now)) {
        requests += others->requests;
    } else if (now - health.reportedAt < ReportLifetime && health.reportedAt != TimePoint()) {
        requests = std::max<double>(
            requests, health.running + health.waiting + health.inFlight - health.inFlightAtReport);
    }
    return requests / std::max(1, state.report.slots);
}

bool BackendPicker::coldTurn(const BackendState &state, const Health &health, double share,
                             TimePoint now) const
{
    // Turns spread out by chance only: a window of one second holds a few more of them than share.
    constexpr double chanceReserve = 1.6;
    const auto interval =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(chanceReserve / share));
    const Duration phase(
        static_cast<std::int64_t>(mix(m_phase) % static_cast<std::uint64_t>(interval.count())));
    const Duration sinceTurn = (now - state.coldUntil + phase) % interval;
    const Duration positive = sinceTurn < Duration::zero() ? sinceTurn + interval : sinceTurn;
    const bool used = !health.sends.empty() && now - health.sends.back() < interval / 2;
    return positive < ColdTurn && !used;
}

bool BackendPicker::coldAllows(const BackendState &state, const Health &health, TimePoint now) const
{
    const auto limits = m_cold.find(state.report.service);
    if (limits == m_cold.end() || limits->second.perSecond <= 0 || state.coldUntil <= now) {
        return true;
    }
    const double share =
        limits->second.perSecond / (std::max(1, limits->second.daemons) * (1 + UnknownDaemons));
    if (share < 1) {
        return coldTurn(state, health, share, now);
    }
    const auto allowed = std::min(static_cast<std::size_t>(share), RememberedSends);
    return health.sends.size() < allowed
        || now - health.sends[health.sends.size() - allowed] >= Duration(1s);
}

void BackendPicker::onSent(const InstanceId &id, const PickRequest &request, TimePoint now)
{
    Health &health = m_health[id];
    ++health.inFlight;
    const double tokens = request.tokenWeight * static_cast<double>(request.promptTokens);
    health.unanswered.at(static_cast<std::size_t>(request.urgency)) += tokens;
    health.sends.push_back(now);
    if (health.sends.size() > RememberedSends) {
        health.sends.pop_front();
    }
    double &mean = m_meanPromptTokens[request.service];
    mean += MeanWeight * (tokens - mean);
    if (request.affinity == 0 || request.sharedTokens == 0) {
        return;
    }
    if (m_visits.size() >= MostRememberedVisits) {
        m_visits.clear();
    }
    std::vector<Visit> &visits = m_visits[request.affinity];
    std::erase_if(visits, [&](const Visit &visit) {
        return visit.backend == id || now - visit.at >= CacheMemory;
    });
    visits.push_back({id, now});
}

void BackendPicker::onAnswering(const InstanceId &id, int urgency, double promptTokens,
                                TimePoint now)
{
    Health &health = m_health[id];
    takeOut(health.unanswered, urgency, promptTokens);
    health.heardAt = now;
    m_places[m_placeOf[id]] = Place();
}

void BackendPicker::exclude(Health &health, TimePoint now)
{
    const int doublings = std::min(health.failures, MostDoublings);
    ++health.failures;
    health.excludedUntil = now + std::min(FirstExclusion * (1 << doublings), LongestExclusion);
}

void BackendPicker::noteSilence(const InstanceId &id, TimePoint now)
{
    const auto found = m_placeOf.find(id);
    if (found == m_placeOf.end()) {
        return;
    }
    Place &place = m_places[found->second];
    place.silent.insert(id);
    if (place.silent.size() >= ServersForSilentPlace) {
        const int doublings = std::min(place.failures++, MostDoublings);
        place.excludedUntil = now + std::min(FirstExclusion * (1 << doublings), LongestExclusion);
    }
}

void BackendPicker::onEnded(const InstanceId &id, SendOutcome outcome, int urgency,
                            double unansweredTokens, TimePoint now)
{
    Health &health = m_health[id];
    takeOut(health.unanswered, urgency, unansweredTokens);
    health.inFlight = std::max(0, health.inFlight - 1);
    if (outcome == SendOutcome::Cancelled) {
        return;
    }
    const bool bad = outcome == SendOutcome::ServerFailed || outcome == SendOutcome::Broken
        || outcome == SendOutcome::Reset || outcome == SendOutcome::Unreachable
        || outcome == SendOutcome::Silent;
    health.failureRate += FailureWeight * ((bad ? 1.0 : 0.0) - health.failureRate);
    ++health.samples;
    switch (outcome) {
    case SendOutcome::Served:
        health.failures = 0;
        health.wasDown = false;
        health.heardAt = now;
        m_places[m_placeOf[id]] = Place();
        break;
    case SendOutcome::Silent:
        noteSilence(id, now);
        [[fallthrough]];
    case SendOutcome::Unreachable:
    case SendOutcome::Reset:
    case SendOutcome::Misdirected:
        health.wasDown = true;
        exclude(health, now);
        break;
    case SendOutcome::Broken:
    case SendOutcome::ServerFailed: {
        double total = 0;
        int peers = 0;
        for (const auto &[other, state] : m_health) {
            if (other != id && state.samples > 0) {
                total += state.failureRate;
                ++peers;
            }
        }
        const double usual = peers > 0 ? total / peers : 0;
        if (health.samples >= SamplesForExclusion && health.failureRate > usual + FailureExcess) {
            exclude(health, now);
        }
        break;
    }
    case SendOutcome::Overloaded:
        health.excludedUntil = now + FirstExclusion / 4;
        break;
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

TimePoint BackendPicker::lastHeardAt(const InstanceId &id) const
{
    const auto found = m_health.find(id);
    return found == m_health.end() ? TimePoint() : found->second.heardAt;
}

BackendLoads BackendPicker::ownLoads(TimePoint now) const
{
    BackendLoads loads;
    for (const auto &[id, health] : m_health) {
        const bool unreachable = health.wasDown && health.excludedUntil > now;
        if (health.inFlight > 0 || unreachable) {
            loads[id] = {health.unanswered, health.inFlight, unreachable ? 1 : 0};
        }
    }
    return loads;
}

void BackendPicker::setOthersLoads(BackendLoads loads, TimePoint now)
{
    m_others = std::move(loads);
    m_othersAt = now;
}

void BackendPicker::prune(const FleetView &view)
{
    std::erase_if(m_health, [&](const auto &entry) {
        return view.backend(entry.first) == nullptr && entry.second.inFlight == 0;
    });
    std::erase_if(m_placeOf,
                  [&](const auto &entry) { return view.backend(entry.first) == nullptr; });
}

int BackendPicker::inFlight(const InstanceId &id) const
{
    const auto found = m_health.find(id);
    return found == m_health.end() ? 0 : found->second.inFlight;
}

} // namespace lycheearch
