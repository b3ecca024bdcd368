#include "Daemon/LocalPeerService.h"

namespace lycheearch {

LocalPeerService::LocalPeerService(StartId startId, Roster &roster, ConfigStore &config,
                                   ClaimKeeper &claims, KeptStore &kept, BackendTable &backends,
                                   ColdGatekeeper &gatekeeper, VersionStats &stats,
                                   InFlightTable &inFlight, HybridClock &hybridClock,
                                   const std::atomic<bool> &stopping, const Clock &clock)
    : m_startId(std::move(startId))
    , m_roster(roster)
    , m_config(config)
    , m_claims(claims)
    , m_kept(kept)
    , m_backends(backends)
    , m_gatekeeper(gatekeeper)
    , m_stats(stats)
    , m_inFlight(inFlight)
    , m_hybridClock(hybridClock)
    , m_stopping(stopping)
    , m_clock(clock)
{
}

ExchangeMessage LocalPeerService::message(TimePoint now)
{
    ExchangeMessage message;
    message.sender = m_roster.self();
    message.startId = m_startId;
    message.dataCentre = m_roster.dataCentre();
    message.time = m_hybridClock.tick(m_clock.wallTime());
    message.revision = m_config.current()->revision;
    message.stopping = m_stopping;
    message.loads = m_backends.digests(now);
    message.counts = m_stats.ownCounts();
    message.provisional = m_config.provisional();
    return message;
}

void LocalPeerService::take(const ExchangeMessage &message, TimePoint now)
{
    m_hybridClock.observe(message.time);
    m_roster.heard(message, now);
    for (const BackendLoadReport &load : message.loads) {
        m_backends.reportDigest(load, now);
    }
    m_stats.setPeerCounts(message.sender, message.counts);
    for (const std::string &record : message.provisional) {
        m_config.addProvisional(record);
    }
}

ExchangeMessage LocalPeerService::onExchange(const ExchangeMessage &message, TimePoint now)
{
    take(message, now);
    return this->message(now);
}

ConfigAnswer LocalPeerService::onFetchConfig(Revision from)
{
    const Revision revision = m_config.current()->revision;
    return {revision, revision > from ? m_config.encodeSnapshot() : ""};
}

ClaimAnswer LocalPeerService::onAskClaim(const ClaimAsk &ask, TimePoint now)
{
    return m_claims.ask(ask, m_roster.memberIds(), now);
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
    return {false, m_roster.self(), claim, phase, ""};
}

std::vector<ClaimEntry> LocalPeerService::onCopyClaims()
{
    return m_claims.entries();
}

std::vector<KeptRecord> LocalPeerService::onKeep(const std::vector<KeptRecord> &records,
                                                 TimePoint now)
{
    return m_kept.put(records, now);
}

std::optional<KeptRecord> LocalPeerService::onFetchKept(KeptKind kind, const std::string &key,
                                                        TimePoint now)
{
    return m_kept.get(kind, key, now);
}

void LocalPeerService::onDropKept(KeptKind kind, const std::vector<std::string> &keys)
{
    m_kept.drop(kind, keys);
}

PermitAnswer LocalPeerService::onTakePermit(const InstanceId &backend, const StartId &startId,
                                            const InstanceId &holder, TimePoint now)
{
    return m_gatekeeper.take(backend, startId, holder, now);
}

void LocalPeerService::onReturnPermit(const InstanceId &backend, const std::string &permit,
                                      TimePoint /*now*/)
{
    m_gatekeeper.giveBack(backend, permit);
}

} // namespace lycheearch
