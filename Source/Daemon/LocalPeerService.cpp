#include "Daemon/LocalPeerService.h"

namespace lycheearch {

LocalPeerService::LocalPeerService(StartId startId, Membership &membership, ConfigStore &config,
                                   SharedClaimTable &claims, ReplicaStore &replicas,
                                   BackendTable &backends, ColdStartGatekeeper &gatekeeper,
                                   VersionStats &stats, InFlightTable &inFlight,
                                   HybridClock &hybridClock, const std::atomic<bool> &stopping,
                                   const Clock &clock)
    : m_startId(std::move(startId))
    , m_membership(membership)
    , m_config(config)
    , m_claims(claims)
    , m_replicas(replicas)
    , m_backends(backends)
    , m_gatekeeper(gatekeeper)
    , m_stats(stats)
    , m_inFlight(inFlight)
    , m_hybridClock(hybridClock)
    , m_stopping(stopping)
    , m_clock(clock)
{
}

HeartbeatMessage LocalPeerService::makeHeartbeat(TimePoint now)
{
    HeartbeatMessage message;
    message.sender = m_membership.self();
    message.startId = m_startId;
    message.dataCentre = m_membership.dataCentre();
    message.time = m_hybridClock.tick(m_clock.wallTime());
    message.revision = m_config.current()->revision;
    message.stopping = m_stopping;
    message.loads = m_backends.coldLoadReports(now);
    message.counts = m_stats.ownCounts();
    message.provisional = m_config.provisional();
    return message;
}

void LocalPeerService::applyHeartbeat(const HeartbeatMessage &message, TimePoint now)
{
    m_hybridClock.observe(message.time);
    m_membership.recordHeartbeat(message, now);
    for (const BackendLoadReport &load : message.loads) {
        m_backends.applyPeerLoadReport(load, now);
    }
    m_stats.setPeerCounts(message.sender, message.counts);
    for (const std::string &record : message.provisional) {
        m_config.addProvisional(record);
    }
}

HeartbeatMessage LocalPeerService::onHeartbeat(const HeartbeatMessage &message, TimePoint now)
{
    applyHeartbeat(message, now);
    return this->makeHeartbeat(now);
}

ConfigAnswer LocalPeerService::onFetchConfig(Revision from)
{
    const Revision revision = m_config.current()->revision;
    return {revision, revision > from ? m_config.encodeSnapshot() : ""};
}

ClaimAnswer LocalPeerService::onRequestClaimConsent(const ClaimAsk &ask, TimePoint now)
{
    return m_claims.ask(ask, m_membership.memberIds(), now);
}

void LocalPeerService::onReleaseClaim(const RequestKey &key, const ClaimId &claim, TimePoint now)
{
    m_claims.release(key, claim, now);
}

ClaimAnswer LocalPeerService::onClaimStatus(const RequestKey &key, const ClaimId &claim)
{
    ClaimPhase phase = m_claims.phaseOf(key, claim);
    if (phase == ClaimPhase::Held && !m_inFlight.contains(key)) {
        // The request doesn't run here: an earlier run of this process made the claim, or this
        // daemon only granted it to a peer.
        phase = ClaimPhase::Absent;
    }
    return {false, m_membership.self(), claim, phase, ""};
}

std::vector<ClaimEntry> LocalPeerService::onCopyClaims()
{
    return m_claims.entries();
}

std::vector<KeptRecord> LocalPeerService::onStoreReplicas(const std::vector<KeptRecord> &records,
                                                          TimePoint now)
{
    return m_replicas.put(records, now);
}

std::optional<KeptRecord> LocalPeerService::onFetchReplica(KeptKind kind, const std::string &key,
                                                           TimePoint now)
{
    return m_replicas.get(kind, key, now);
}

void LocalPeerService::onDeleteReplicas(KeptKind kind, const std::vector<std::string> &keys)
{
    m_replicas.drop(kind, keys);
}

PermitAnswer LocalPeerService::onTakePermit(const InstanceId &backend, const StartId &startId,
                                            const InstanceId &holder, TimePoint now)
{
    return m_gatekeeper.issuePermit(backend, startId, holder, now);
}

void LocalPeerService::onReturnPermit(const InstanceId &backend, const std::string &permit,
                                      TimePoint /*now*/)
{
    m_gatekeeper.releasePermit(backend, permit);
}

} // namespace lycheearch
