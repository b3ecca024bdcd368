#include "Routing/BackendAdmission.h"

namespace lycheearch {

namespace {
/// Interval at which waiting requests try again: a load report that shows a server as free does not
/// notify m_changed.
constexpr Duration QueuePollPeriod = 20ms;
/// For this time after a refused permit, a server is used only if no other one can serve a request.
constexpr Duration PermitRetryDelay = 100ms;
/// Retry delay that each failure suggests to the caller.
constexpr Duration RetryAfter = 1s;
/// A request fails with NoBackend only after this time, because the report of a server that serves
/// its pool may be late.
constexpr Duration NoBackendTimeout = 500ms;
} // namespace

BackendAdmission::BackendAdmission(BackendTable &table, ColdStartGatekeeper &gatekeeper,
                                   PeerNetwork &network, const Membership &membership,
                                   const ConfigStore &config, std::size_t capacity,
                                   const Clock &clock)
    : m_table(table)
    , m_gatekeeper(gatekeeper)
    , m_network(network)
    , m_membership(membership)
    , m_config(config)
    , m_clock(clock)
    , m_queue(capacity)
{
}

Result<BackendGrant> BackendAdmission::acquire(const AdmissionRequest &request)
{
    const TimePoint start = m_clock.now();
    std::unique_lock lock(m_mutex);
    const Ticket ticket =
        m_queue.add(request.need.pool(), request.priority, request.account, request.weight);
    while (true) {
        if (m_queue.wasEvicted(ticket)) {
            m_queue.remove(ticket, false);
            return makeFailure(Errc::Overloaded,
                               "evicted from the full wait queue: other requests precede this one",
                               RunState::NotRun, RetryAfter);
        }
        ChoiceFailure failure = ChoiceFailure::AllBusy;
        if (m_queue.isNext(ticket)) {
            lock.unlock();
            std::optional<BackendGrant> grant = tryAcquire(request, failure);
            lock.lock();
            if (grant) {
                m_queue.remove(ticket, true);
                lock.unlock();
                m_changed.notify_all();
                return *grant;
            }
        }
        const TimePoint now = m_clock.now();
        if (failure == ChoiceFailure::NoServer && now - start >= NoBackendTimeout) {
            m_queue.remove(ticket, false);
            return makeFailure(Errc::NoBackend, "no backend server serves " + request.need.pool(),
                               RunState::NotRun, RetryAfter);
        }
        if (now >= request.deadline) {
            m_queue.remove(ticket, false);
            return makeFailure(Errc::DeadlineExceeded,
                               "no backend server for " + request.need.pool()
                                   + " became free before the deadline",
                               RunState::NotRun, RetryAfter);
        }
        m_changed.wait_for(lock, std::min<Duration>(QueuePollPeriod, request.deadline - now));
    }
}

std::optional<BackendGrant> BackendAdmission::tryAcquire(const AdmissionRequest &request,
                                                         ChoiceFailure &failure)
{
    const TimePoint now = m_clock.now();
    std::set<InstanceId> excluded = request.excluded;
    {
        std::lock_guard lock(m_mutex);
        std::erase_if(m_permitRefusedUntil, [&](const auto &item) { return item.second <= now; });
        for (const auto &[backend, until] : m_permitRefusedUntil) {
            excluded.insert(backend);
        }
    }
    const ConfigStatePtr config = m_config.current();
    const auto choice = m_table.choose(request.need, *config, excluded, now, failure);
    if (!choice) {
        return std::nullopt;
    }
    if (!choice->needsPermit) {
        return BackendGrant{choice->target, choice->dataCentre, "", {}, TimePoint::max()};
    }
    std::optional<BackendGrant> grant = acquirePermit(*choice);
    if (!grant) {
        failure = ChoiceFailure::AllBusy;
        m_table.release(choice->target.instance, BackendResult::Cancelled, {}, now);
        std::lock_guard lock(m_mutex);
        m_permitRefusedUntil[choice->target.instance] = now + PermitRetryDelay;
    }
    return grant;
}

std::optional<BackendGrant> BackendAdmission::acquirePermit(const BackendChoice &choice)
{
    const TimePoint requestedAt = m_clock.now();
    const InstanceId &backend = choice.target.instance;
    const InstanceId gatekeeper = m_gatekeeper.gatekeeperOf(backend, requestedAt);
    PermitAnswer answer;
    if (gatekeeper == m_membership.self()) {
        answer = m_gatekeeper.issuePermit(backend, choice.target.startId, m_membership.self(),
                                          requestedAt);
    } else {
        const auto remote = m_network.takePermit(gatekeeper, backend, choice.target.startId);
        answer = remote.ok() ? remote.value() : PermitAnswer{};
    }
    if (answer.permit.empty()) {
        return std::nullopt;
    }
    BackendGrant grant{choice.target, choice.dataCentre, answer.permit, gatekeeper,
                       requestedAt + ColdStartGatekeeper::PermitValidity};
    grant.target.coldAllowed = true;
    return grant;
}

void BackendAdmission::release(const BackendGrant &grant, BackendResult result, Duration latency)
{
    const InstanceId &backend = grant.target.instance;
    m_table.release(backend, result, latency, m_clock.now());
    if (!grant.permit.empty() && grant.gatekeeper == m_membership.self()) {
        m_gatekeeper.releasePermit(backend, grant.permit);
    } else if (!grant.permit.empty()) {
        m_network.returnPermit(grant.gatekeeper, backend, grant.permit);
    }
    m_changed.notify_all();
}

std::size_t BackendAdmission::queueLength() const
{
    std::lock_guard lock(m_mutex);
    return m_queue.size();
}

} // namespace lycheearch
