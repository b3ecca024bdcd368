#include "Daemon/RolloutAgent.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "Routing/DecisionBasis.h"
#include "Routing/VersionComparison.h"

namespace lycheearch {

namespace {

constexpr Duration StepPeriod = 400ms;
constexpr Duration EvidenceWritePeriod = 700ms;
/// Replaces both in the last stage, in which all requests use the target.
constexpr Duration LastStagePeriod = 300ms;
/// Feeds don't carry the evidence of all daemons. A daemon that begins to read the store has it
/// after each of the other readers has written once.
constexpr Duration EvidenceCollectionTime = 2 * EvidenceWritePeriod;
/// A daemon stores a final state this time after the one before it in the order, unless that one
/// has: longer than a write takes. If both do, the store accepts one.
constexpr Duration FinalStateSpacing = 100ms;
/// Daemons whose evidence is kept.
constexpr std::size_t MaxDaemons = 4096;

} // namespace

RolloutAgent::RolloutAgent(EventLoop &loop, InstanceId self, FleetStore &store,
                           const RecordCodec &codec, const FleetView &view, FleetFollower &follower,
                           FeedClient &feed, RolloutCounts &counts, ExposureLimit exposureLimit,
                           StructuredLog &log)
    : m_loop(loop)
    , m_self(std::move(self))
    , m_store(store)
    , m_codec(codec)
    , m_view(view)
    , m_follower(follower)
    , m_feed(feed)
    , m_counts(counts)
    , m_log(log)
    , m_controller(exposureLimit)
{
}

RolloutAgent::~RolloutAgent()
{
    m_loop.cancel(m_timer);
    m_loop.cancel(m_changeTimer);
}

void RolloutAgent::start()
{
    step(m_loop.now());
}

void RolloutAgent::addFollowerEvidence(const FeedEvidence &evidence)
{
    if (evidence.evidence.empty()) {
        return;
    }
    const InstanceId &daemon = evidence.evidence.front().daemon;
    if (m_evidenceByDaemon.contains(daemon) || m_evidenceByDaemon.size() < MaxDaemons) {
        m_evidenceByDaemon[daemon] = evidence.evidence;
    }
}

void RolloutAgent::step(TimePoint now)
{
    const Duration period = lastStageUnderWay() ? LastStagePeriod : StepPeriod;
    m_timer = m_loop.at(
        now + period, [this](TimePoint currentTime) { step(currentTime); }, "rollouts");
    if (!m_follower.synced()) {
        return;
    }
    m_counts.followOrders(m_view, now);
    if (m_view.rollouts().empty()) {
        return;
    }
    if (rolloutUnderWay(m_view)) {
        reportEvidence(now);
    }
    if (m_follower.followingFeed()) {
        m_lastFollowedAt = now;
        return;
    }
    writeEvidence(now);
    advanceRollouts(now);
}

bool RolloutAgent::hasEvidenceOfAll() const
{
    return !m_follower.followingFeed()
        && (m_lastFollowedAt == TimePoint()
            || m_follower.currentAt(Topic::Own) - m_lastFollowedAt >= EvidenceCollectionTime);
}

void RolloutAgent::reportEvidence(TimePoint now)
{
    std::vector<RolloutEvidence> evidence = m_counts.evidence(m_self, m_view, now);
    if (evidence == m_lastReported) {
        return;
    }
    if (m_follower.followingFeed() && m_feed.sendEvidence(evidence)) {
        m_lastReported = std::move(evidence);
    } else if (!m_follower.followingFeed()) {
        m_evidenceByDaemon[m_self] = evidence;
        m_lastReported = std::move(evidence);
    }
}

void RolloutAgent::writeEvidence(TimePoint now)
{
    const Duration period = lastStageUnderWay() ? LastStagePeriod : EvidenceWritePeriod;
    if (!rolloutUnderWay(m_view) || now - m_lastWriteAt < period) {
        return;
    }
    EvidenceCollected bundle;
    bundle.collector = m_self;
    for (const auto &[daemon, evidence] : m_evidenceByDaemon) {
        bundle.evidence.insert(bundle.evidence.end(), evidence.begin(), evidence.end());
    }
    if (bundle.evidence == m_lastWritten) {
        return;
    }
    for (const auto &[service, order] : m_view.rollouts()) {
        const TimePoint orderedAt = m_view.orderedAt(service, order.target).value_or(now);
        bundle.orderAges.push_back({service, order.target, now - orderedAt});
    }
    m_lastWritten = bundle.evidence;
    m_lastWriteAt = now;
    m_store.append(Topic::Own, m_codec.encode(bundle), {},
                   [this](const StoreOutcome<Offset> &outcome, TimePoint) {
                       if (!outcome.ok()) {
                           m_lastWritten.clear(); // Retries after EvidenceWritePeriod.
                       }
                   });
}

bool RolloutAgent::lastStageUnderWay() const
{
    return rolloutUnderWay(m_view)
        && std::any_of(m_view.rollouts().begin(), m_view.rollouts().end(), [&](const auto &entry) {
               const auto stage = storedStage(entry.first);
               return stage && stage->target == entry.second.target
                   && stage->stage >= LastRolloutStage;
           });
}

void RolloutAgent::advanceRollouts(TimePoint now)
{
    if (m_writeInFlight || !hasEvidenceOfAll()) {
        return;
    }
    for (const auto &[service, order] : m_view.rollouts()) {
        advanceRollout(order, now);
    }
}

void RolloutAgent::advanceRollout(const RolloutOrdered &order, TimePoint now)
{
    const RolloutTotals totals = rolloutTotals(order.service, order.target, m_view.evidence());
    const std::optional<Change> change = dueChange(order, totals, now);
    if (!change) {
        m_dueChanges.erase(order.service);
        return;
    }
    const TimePoint since = changeDueSince(order.service, *change, now);
    const Duration delay = actionDelay(*change);
    if (now < since + delay) {
        advanceLater(since + delay);
        return;
    }
    // What another daemon has written is read before this one acts in its place, and what speaks
    // against the change before it is made.
    if (!mayAct({since, m_follower.currentAt(Topic::Own)}, delay, now)) {
        m_follower.confirm(Topic::Own,
                           [this](TimePoint currentTime) { advanceRollouts(currentTime); });
        return;
    }
    m_dueChanges.erase(order.service);
    if (change->stage) {
        const TimePoint orderedAt = m_view.orderedAt(order.service, order.target).value_or(now);
        logEvidence(order, totals, now - orderedAt, now);
    }
    // A final state is stored as a state only, on one condition, so that the first one holds. Every
    // daemon follows it.
    if (change->state) {
        writeState({order.service, order.target, *change->state}, now);
    } else {
        writeStage(*change->stage, now);
    }
}

std::optional<RolloutAgent::Change>
RolloutAgent::dueChange(const RolloutOrdered &order, const RolloutTotals &totals, TimePoint now)
{
    const auto current = storedStage(order.service);
    const TimePoint orderedAt = m_view.orderedAt(order.service, order.target).value_or(now);
    auto next =
        m_controller.decide(order, orderedAt, current, totals, readyTargets(order, now), now);
    const bool ofTarget = current && current->target == order.target;
    const bool complete = (ofTarget && current->complete) || (next && next->complete);
    const bool condemned = (ofTarget && current->condemned) || (next && next->condemned);
    RolloutState newState = complete ? RolloutState::Complete
        : condemned                  ? RolloutState::RolledBack
                                     : RolloutState::Running;
    const auto known = m_view.rolloutStates().find(order.service);
    const bool finalStateStored = known != m_view.rolloutStates().end()
        && known->second.target == order.target && known->second.state != RolloutState::Running;
    if (finalStateStored) {
        newState = known->second.state;
        next.reset();
    }
    if (!next && ofTarget && stageLost(*current)) {
        next = current;
    }
    const bool stateDue = !storedStateIs(order.service, order.target, newState)
        || stateLost({order.service, order.target, newState});
    if (!next && !stateDue) {
        return std::nullopt;
    }
    return Change{next, stateDue ? std::optional(newState) : std::nullopt};
}

void RolloutAgent::logEvidence(const RolloutOrdered &order, const RolloutTotals &totals,
                               Duration age, TimePoint now)
{
    m_log.write(LogPriority::Notable,
                LogLine("rollout.evidence")
                    .add("service", order.service.value())
                    .add("target", order.target.value())
                    .add("ordered_ms", age)
                    .add("read_age_ms", now - m_follower.currentAt(Topic::Own))
                    .add("read_to", m_follower.nextOffset(Topic::Own).value())
                    .add("daemons", totals.daemons)
                    .add("at_last_stage", totals.daemonsAtLastStage)
                    .add("requests_per_second", totals.requestRate(age))
                    .add("target_good", totals.target.good)
                    .add("target_bad", totals.target.bad)
                    .add("other_good", totals.other.good)
                    .add("other_bad", totals.other.bad)
                    .add("target_timed", totals.target.latencySamples)
                    .add("target_log_latency", totals.target.logLatencySum)
                    .add("other_timed", totals.other.latencySamples)
                    .add("other_log_latency", totals.other.logLatencySum)
                    .add("target_sent", totals.target.sent)
                    .add("target_in_flight", totals.target.inFlight)
                    .add("other_in_flight", totals.other.inFlight)
                    .add("target_slowness", answerSlowness(totals.target, totals.other)),
                now);
}

void RolloutAgent::writeStage(const RolloutStage &stage, TimePoint now)
{
    m_writeInFlight = true;
    m_log.write(LogPriority::Notable,
                LogLine("rollout.stage")
                    .add("service", stage.service.value())
                    .add("target", stage.target.value())
                    .add("stage", stage.stage)
                    .add("first_share", stage.firstShare)
                    .add("canary_share", stage.canaryShare)
                    .add("condemned", stage.condemned ? "yes" : "no")
                    .add("complete", stage.complete ? "yes" : "no"),
                now);
    m_store.append(Topic::Own, m_codec.encode(stage), {std::nullopt, decisionEnd()},
                   [this](const StoreOutcome<Offset> &, TimePoint) {
                       // A failed write may have taken effect; the next read shows it.
                       m_writeInFlight = false;
                       m_follower.pollNow(Topic::Own);
                   });
}

void RolloutAgent::writeState(const RolloutReported &state, TimePoint now)
{
    m_writeInFlight = true;
    const Offset expected = m_follower.nextOffset(Topic::Status);
    m_log.write(LogPriority::Notable,
                LogLine("rollout.decided")
                    .add("service", state.service.value())
                    .add("target", state.target.value())
                    .add("state", static_cast<int>(state.state))
                    .add("read_age_ms", now - m_follower.currentAt(Topic::Own))
                    .add("status_end", expected.value()),
                now);
    m_store.append(Topic::Status, m_codec.encode(state), {expected, decisionEnd()},
                   [this, state, now](const StoreOutcome<Offset> &outcome, TimePoint currentTime) {
                       m_writeInFlight = false;
                       logState(state, outcome, currentTime - now, currentTime);
                       m_follower.relist(Topic::Status);
                   });
}

TimePoint RolloutAgent::decisionEnd() const
{
    return m_follower.currentAt(Topic::Own) + MaxBasisAge;
}

void RolloutAgent::logState(const RolloutReported &state, const StoreOutcome<Offset> &outcome,
                            Duration age, TimePoint now)
{
    m_log.write(LogPriority::Notable,
                LogLine("rollout.state")
                    .add("service", state.service.value())
                    .add("target", state.target.value())
                    .add("state", static_cast<int>(state.state))
                    .add("decided_ms", age)
                    .add("written", outcome.ok() ? "yes" : "no")
                    .add("fault", outcome.ok() ? "" : storeFaultName(outcome.fault)),
                now);
}

void RolloutAgent::advanceLater(TimePoint at)
{
    if (m_changeTimer.active() && m_changeTimer.due <= at) {
        return;
    }
    m_loop.cancel(m_changeTimer);
    m_changeTimer = m_loop.at(
        at,
        [this](TimePoint now) {
            m_changeTimer = TimerId();
            advanceRollouts(now);
        },
        "rollouts");
}

Duration RolloutAgent::actionDelay(const Change &change) const
{
    const int place = placeInOrder();
    const bool final = change.state && *change.state != RolloutState::Running;
    if (final) {
        return std::min<Duration>(place * FinalStateSpacing, RolloutController::StandbyDelay);
    }
    return place == 0 ? Duration::zero() : RolloutController::StandbyDelay;
}

int RolloutAgent::placeInOrder() const
{
    const auto self = m_view.members().find(m_self);
    int before = 0;
    std::set<DataCentreId> others;
    for (const auto &[id, member] : m_view.members()) {
        if (feedRank(id) >= feedRank(m_self)) {
            continue;
        }
        const bool sameDataCentre =
            self != m_view.members().end() && member.dataCentre == self->second.dataCentre;
        before += sameDataCentre || others.insert(member.dataCentre).second ? 1 : 0;
    }
    return before;
}

TimePoint RolloutAgent::changeDueSince(const ServiceId &service, const Change &change,
                                       TimePoint now)
{
    DueChange &due = m_dueChanges.try_emplace(service, DueChange{change, now}).first->second;
    if (!due.change.isSameStep(change)) {
        due = {change, now};
    }
    return due.since;
}

bool RolloutAgent::Change::isSameStep(const Change &other) const
{
    const auto step = [](const Change &change) {
        const RolloutStage stage = change.stage.value_or(RolloutStage());
        return std::tuple(change.state, stage.target, stage.stage, stage.condemned, stage.complete);
    };
    return step(*this) == step(other);
}

int RolloutAgent::readyTargets(const RolloutOrdered &order, TimePoint now) const
{
    return static_cast<int>(
        std::count_if(m_view.backends().begin(), m_view.backends().end(), [&](const auto &entry) {
            const BackendState &state = entry.second;
            return state.report.service == order.service && state.report.version == order.target
                && !state.draining && state.coldUntil <= now;
        }));
}

std::optional<RolloutStage> RolloutAgent::storedStage(const ServiceId &service) const
{
    const auto found = m_view.stages().find(service);
    return found == m_view.stages().end() ? std::nullopt
                                          : std::optional<RolloutStage>(found->second);
}

bool RolloutAgent::stageLost(const RolloutStage &stage) const
{
    if (stage.stage == 0 || !m_follower.listedInEra(Topic::Own)) {
        return false;
    }
    const RawRecord *raw = m_follower.mirror().find(Topic::Own, m_codec.encode(stage).key);
    if (raw == nullptr) {
        return true;
    }
    const FleetRecord record = m_codec.decode(Topic::Own, *raw);
    const auto *stored = std::get_if<RolloutStage>(&record);
    return stored == nullptr || stored->target != stage.target || stored->stage < stage.stage
        || (stage.condemned && !stored->condemned);
}

bool RolloutAgent::stateLost(const RolloutReported &state) const
{
    if (!m_follower.listedInEra(Topic::Status)) {
        return false;
    }
    const RawRecord *raw = m_follower.mirror().find(Topic::Status, m_codec.encode(state).key);
    if (raw == nullptr) {
        return true;
    }
    const FleetRecord record = m_codec.decode(Topic::Status, *raw);
    const auto *stored = std::get_if<RolloutReported>(&record);
    return stored == nullptr || *stored != state;
}

bool RolloutAgent::storedStateIs(const ServiceId &service, const VersionId &target,
                                 RolloutState state) const
{
    const auto found = m_view.rolloutStates().find(service);
    return found != m_view.rolloutStates().end() && found->second.target == target
        && found->second.state == state;
}

} // namespace lycheearch
