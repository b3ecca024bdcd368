#include "Request/DeduplicateFilter.h"

#include <thread>

#include "Base/Hash.h"
#include "State/ReplicaPlacement.h"

namespace lycheearch {

namespace {

constexpr Duration HolderPollInterval = 50ms;
constexpr Duration RetryAfter = 1s;
constexpr std::size_t HoldersToQuery = 3; ///< The number of replicas plus one.
constexpr double HashFractionSteps = 1e6;

/// The content that repeats of a request have in common.
std::string hashInput(const CallerRequest &request)
{
    return request.kind == RequestKind::Chat
        ? request.model.value() + "\n" + request.prompt
        : request.service.value() + "/" + request.operation.value() + "\n" + request.body;
}

bool isNonIdempotent(const RequestContext &context)
{
    return context.request.kind == RequestKind::Service && !context.operation.idempotent;
}

} // namespace

DeduplicateFilter::DeduplicateFilter(InFlightTable &inFlight, ReplicaStore &kept,
                                     ClaimProtocol &claims, PeerNetwork &network,
                                     const Membership &membership, Timeline &timeline,
                                     const Clock &clock)
    : m_inFlight(inFlight)
    , m_replicas(kept)
    , m_claims(claims)
    , m_network(network)
    , m_membership(membership)
    , m_timeline(timeline)
    , m_clock(clock)
{
}

Status DeduplicateFilter::apply(RequestContext &context)
{
    const CallerRequest &request = context.request;
    const bool hasCallerKey = !request.idempotencyKey.empty();
    const std::string key = hasCallerKey ? request.idempotencyKey.value() : "minted-" + randomHex();
    context.key = RequestKey(context.account.id.value() + "/" + key);
    context.bodyHash = std::to_string(stableHash(hashInput(request)));
    context.hashFraction = static_cast<double>(stableHash(context.key.value())
                                               % static_cast<std::uint64_t>(HashFractionSteps))
        / HashFractionSteps;
    if (!hasCallerKey) {
        return std::nullopt;
    }
    if (const auto firstResult = m_inFlight.registerRequest(context.key)) {
        context.replayed = true;
        return awaitInFlight(context, *firstResult);
    }
    context.registeredInFlight = true;
    if (const auto kept = findStoredResult(context, {})) {
        return replay(context, *kept);
    }
    return isNonIdempotent(context) ? claim(context) : std::nullopt;
}

Status DeduplicateFilter::awaitInFlight(RequestContext &context,
                                        const InFlightTable::ResultFuture &firstResult) const
{
    const Duration left = context.request.deadline - m_clock.now();
    if (firstResult.wait_for(left) != std::future_status::ready) {
        return makeFailure(Errc::DeadlineExceeded,
                           "the first request with this key is still running", RunState::Unknown,
                           RetryAfter);
    }
    return replay(context, firstResult.get());
}

std::optional<RequestResult> DeduplicateFilter::findStoredResult(const RequestContext &context,
                                                                 const InstanceId &owner)
{
    const TimePoint now = m_clock.now();
    const std::string &key = context.key.value();
    if (const auto record = m_replicas.get(KeptKind::Answer, key, now)) {
        return decodeRequestResult(record->data);
    }
    std::vector<InstanceId> holders = chooseReplicaHolders(m_membership, key, HoldersToQuery, now);
    if (!owner.empty() && owner != m_membership.self()) {
        holders.insert(holders.begin(), owner);
    }
    const auto found = m_network.fetchReplicaFromAny(holders, KeptKind::Answer, key);
    if (!found) {
        return std::nullopt;
    }
    m_replicas.put({*found}, now);
    return decodeRequestResult(found->data);
}

Status DeduplicateFilter::replay(RequestContext &context, const RequestResult &result) const
{
    context.replayed = true;
    if (result.bodyHash != context.bodyHash) {
        return makeFailure(Errc::KeyReused, "the key was already used for a different request");
    }
    context.result = result;
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
            event.detail = outcome.grantedByPeers ? "granted by all peers" : "granted by the log";
            m_timeline.record(event);
            return std::nullopt;
        }
        if (outcome.kind == ClaimOutcome::Kind::Refused) {
            return outcome.failure;
        }
        if (const auto finalStatus = awaitHolder(context, outcome.holder)) {
            return *finalStatus;
        }
    }
}

std::optional<Status> DeduplicateFilter::awaitHolder(RequestContext &context,
                                                     const ClaimEntry &holder)
{
    while (m_clock.now() < context.request.deadline) {
        if (const auto kept = findStoredResult(context, holder.owner)) {
            return replay(context, *kept);
        }
        const auto status = m_claims.status(holder);
        if (!status.ok()) {
            return makeFailure(Errc::OutcomeUnknown,
                               holder.owner.value() + " claimed this key and does not respond",
                               RunState::Unknown);
        }
        const ClaimAnswer &result = status.value();
        if (result.phase == ClaimPhase::Released) {
            m_claims.release(holder.key, holder.claim, m_clock.now());
            return std::nullopt;
        }
        if (result.phase == ClaimPhase::Finished || result.phase == ClaimPhase::Absent) {
            // The request may have finished after the lookup above, so its result is looked up
            // again.
            if (const auto kept = findStoredResult(context, holder.owner)) {
                return replay(context, *kept);
            }
            return makeFailure(
                Errc::OutcomeUnknown,
                "the key was claimed before, and the outcome of that request is lost",
                RunState::Unknown);
        }
        std::this_thread::sleep_for(HolderPollInterval);
    }
    return makeFailure(Errc::ClaimedElsewhere, "the first request with this key is still running",
                       RunState::Unknown, RetryAfter);
}

void DeduplicateFilter::onRequestEnd(RequestContext &context, const Status &failure)
{
    if (!context.registeredInFlight) {
        return;
    }
    const TimePoint now = m_clock.now();
    RequestResult firstResult = context.result.value_or(RequestResult{});
    firstResult.bodyHash = context.bodyHash;
    firstResult.failure = failure;
    if (!context.claim.empty()) {
        const bool notRun = failure && failure->run == RunState::NotRun;
        if (notRun) {
            m_claims.release(context.key, context.claim, now);
        } else {
            m_replicas.put({{KeptKind::Answer, context.key.value(), m_membership.self(),
                             encodeRequestResult(firstResult)}},
                           now);
            m_claims.finish(context.key, context.claim, now);
        }
    }
    m_inFlight.complete(context.key, firstResult);
}

} // namespace lycheearch
