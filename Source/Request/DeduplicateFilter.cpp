#include "Request/DeduplicateFilter.h"

#include <thread>

#include "Base/Hash.h"
#include "State/KeeperChoice.h"

namespace lycheearch {

namespace {

constexpr Duration PollHolder = 50ms;
constexpr Duration RetryAfter = 1s;
constexpr std::size_t KeepersToAsk = 3; ///< One more than there are replicas.
constexpr double LotSteps = 1e6;

std::string bodyOf(const CallerRequest &request)
{
    return request.kind == RequestKind::Chat
        ? request.model.value() + "\n" + request.prompt
        : request.service.value() + "/" + request.operation.value() + "\n" + request.body;
}

bool mustNotRepeat(const RequestContext &context)
{
    return context.request.kind == RequestKind::Service && !context.operation.idempotent;
}

} // namespace

DeduplicateFilter::DeduplicateFilter(InFlightTable &inFlight, KeptStore &kept,
                                     ClaimProtocol &claims, PeerNetwork &network,
                                     const Roster &roster, Timeline &timeline, const Clock &clock)
    : m_inFlight(inFlight)
    , m_kept(kept)
    , m_claims(claims)
    , m_network(network)
    , m_roster(roster)
    , m_timeline(timeline)
    , m_clock(clock)
{
}

Status DeduplicateFilter::apply(RequestContext &context)
{
    const CallerRequest &request = context.request;
    const bool given = !request.idempotencyKey.empty();
    const std::string key = given ? request.idempotencyKey.value() : "minted-" + randomHex();
    context.key = RequestKey(context.account.id.value() + "/" + key);
    context.bodyHash = std::to_string(stableHash(bodyOf(request)));
    context.lot =
        static_cast<double>(stableHash(context.key.value()) % static_cast<std::uint64_t>(LotSteps))
        / LotSteps;
    if (!given) {
        return std::nullopt;
    }
    if (const auto ending = m_inFlight.enter(context.key)) {
        context.replayed = true;
        return joinLocal(context, *ending);
    }
    context.registered = true;
    if (const auto kept = findKept(context, {})) {
        return replay(context, *kept);
    }
    return mustNotRepeat(context) ? claim(context) : std::nullopt;
}

Status DeduplicateFilter::joinLocal(RequestContext &context,
                                    const InFlightTable::Ending &ending) const
{
    const Duration left = context.request.deadline - m_clock.now();
    if (ending.wait_for(left) != std::future_status::ready) {
        return makeFailure(Errc::DeadlineExceeded,
                           "the first request with this key is still running", RunState::Unknown,
                           RetryAfter);
    }
    return replay(context, ending.get());
}

std::optional<FinishedAnswer> DeduplicateFilter::findKept(const RequestContext &context,
                                                          const InstanceId &owner)
{
    const TimePoint now = m_clock.now();
    const std::string &key = context.key.value();
    if (const auto record = m_kept.get(KeptKind::Answer, key, now)) {
        return decodeFinishedAnswer(record->data);
    }
    std::vector<InstanceId> holders = chooseKeepers(m_roster, key, KeepersToAsk, now);
    if (!owner.empty() && owner != m_roster.self()) {
        holders.insert(holders.begin(), owner);
    }
    const auto found = m_network.fetchKeptAny(holders, KeptKind::Answer, key);
    if (!found) {
        return std::nullopt;
    }
    m_kept.put({*found}, now);
    return decodeFinishedAnswer(found->data);
}

Status DeduplicateFilter::replay(RequestContext &context, const FinishedAnswer &answer) const
{
    context.replayed = true;
    if (answer.bodyHash != context.bodyHash) {
        return makeFailure(Errc::KeyReused, "the key was already used for a different request");
    }
    context.answer = answer;
    return std::nullopt;
}

Status DeduplicateFilter::claim(RequestContext &context)
{
    while (true) {
        const TimePoint now = m_clock.now();
        if (now >= context.request.deadline) {
            return makeFailure(Errc::DeadlineExceeded, "the key could not be claimed in time",
                               RunState::NotRun, RetryAfter);
        }
        const ClaimOutcome outcome = m_claims.acquire(context.key, context.request.deadline, now);
        if (outcome.kind == ClaimOutcome::Kind::Granted) {
            context.claim = outcome.claim;
            TimelineEvent event;
            event.kind = "claim";
            event.request = context.request.id;
            event.detail = outcome.byPeers ? "granted by all peers" : "granted by the log";
            m_timeline.record(event);
            return std::nullopt;
        }
        if (outcome.kind == ClaimOutcome::Kind::Refused) {
            return outcome.failure;
        }
        if (const auto settled = awaitHolder(context, outcome.holder)) {
            return *settled;
        }
    }
}

std::optional<Status> DeduplicateFilter::awaitHolder(RequestContext &context,
                                                     const ClaimEntry &holder)
{
    while (m_clock.now() < context.request.deadline) {
        if (const auto kept = findKept(context, holder.owner)) {
            return replay(context, *kept);
        }
        const auto status = m_claims.status(holder);
        if (!status.ok()) {
            return makeFailure(Errc::OutcomeUnknown,
                               holder.owner.value() + " claimed this key and does not respond",
                               RunState::Unknown);
        }
        const ClaimAnswer &answer = status.value();
        if (answer.phase == ClaimPhase::Released) {
            m_claims.release(holder.key, holder.claim, m_clock.now());
            return std::nullopt;
        }
        if (answer.phase == ClaimPhase::Finished || answer.phase == ClaimPhase::Absent) {
            // The request can have finished after the lookup above, so its answer is looked up
            // again.
            if (const auto kept = findKept(context, holder.owner)) {
                return replay(context, *kept);
            }
            return makeFailure(
                Errc::OutcomeUnknown,
                "the key was claimed before, and the outcome of that request is lost",
                RunState::Unknown);
        }
        std::this_thread::sleep_for(PollHolder);
    }
    return makeFailure(Errc::ClaimedElsewhere, "the first request with this key is still running",
                       RunState::Unknown, RetryAfter);
}

void DeduplicateFilter::settle(RequestContext &context, const Status &failure)
{
    if (!context.registered) {
        return;
    }
    const TimePoint now = m_clock.now();
    FinishedAnswer ending = context.answer.value_or(FinishedAnswer{});
    ending.bodyHash = context.bodyHash;
    ending.failure = failure;
    if (!context.claim.empty()) {
        const bool notRun = failure && failure->run == RunState::NotRun;
        if (notRun) {
            m_claims.release(context.key, context.claim, now);
        } else {
            m_kept.put({{KeptKind::Answer, context.key.value(), m_roster.self(),
                         encodeFinishedAnswer(ending)}},
                       now);
            m_claims.finish(context.key, context.claim, now);
        }
    }
    m_inFlight.leave(context.key, ending);
}

} // namespace lycheearch
