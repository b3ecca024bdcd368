#include "Peer/RpcPeerServer.h"

#include <algorithm>

#include <kj/debug.h>

#include "Base/Hash.h"
#include "Peer/PeerCodec.h"

namespace lycheearch {

namespace {
/// Bounds the memory that callers without the peer key can use.
constexpr std::size_t MaxUnusedNonces = 1000;
} // namespace

RpcGateServer::RpcGateServer(const PeerAuthenticator &authenticator, PeerService &service,
                             const Clock &clock)
    : m_authenticator(authenticator)
    , m_service(service)
    , m_clock(clock)
{
}

kj::Promise<void> RpcGateServer::challenge(ChallengeContext context)
{
    const std::string nonce = randomHex();
    m_nonces.push_back(nonce);
    if (m_nonces.size() > MaxUnusedNonces) {
        m_nonces.pop_front();
    }
    context.getResults().setNonce(nonce);
    return kj::READY_NOW;
}

bool RpcGateServer::consumeNonce(const std::string &nonce)
{
    const auto found = std::find(m_nonces.begin(), m_nonces.end(), nonce);
    if (found == m_nonces.end()) {
        return false;
    }
    m_nonces.erase(found);
    return true;
}

kj::Promise<void> RpcGateServer::open(OpenContext context)
{
    const auto params = context.getParams();
    const InstanceId caller(PeerCodec::text(params.getInstance()));
    const std::string nonce = PeerCodec::text(params.getNonce());
    const bool authenticated = consumeNonce(nonce)
        && m_authenticator.verifyInitiatorProof(caller, nonce, PeerCodec::text(params.getProof()));
    if (!authenticated) {
        return KJ_EXCEPTION(FAILED, "authentication of the caller as a peer failed");
    }
    context.getResults().setPeer(kj::heap<RpcPeerServer>(caller, m_service, m_clock));
    context.getResults().setProof(m_authenticator.acceptorProof(caller, nonce));
    return kj::READY_NOW;
}

RpcPeerServer::RpcPeerServer(InstanceId caller, PeerService &service, const Clock &clock)
    : m_caller(std::move(caller))
    , m_service(service)
    , m_clock(clock)
{
}

kj::Promise<void> RpcPeerServer::exchange(ExchangeContext context)
{
    const HeartbeatMessage message = PeerCodec::read(context.getParams().getMessage());
    const HeartbeatMessage answer = m_service.onHeartbeat(message, m_clock.now());
    PeerCodec::write(context.getResults().initMessage(), answer);
    return kj::READY_NOW;
}

kj::Promise<void> RpcPeerServer::fetchConfig(FetchConfigContext context)
{
    const ConfigAnswer answer = m_service.onFetchConfig(Revision(context.getParams().getFrom()));
    auto builder = context.getResults().initAnswer();
    builder.setRevision(answer.revision.value());
    builder.setSnapshot(answer.snapshot);
    return kj::READY_NOW;
}

kj::Promise<void> RpcPeerServer::askClaim(AskClaimContext context)
{
    const ClaimAsk ask = PeerCodec::read(context.getParams().getAsk());
    const ClaimAnswer answer = m_service.onRequestClaimConsent(ask, m_clock.now());
    PeerCodec::write(context.getResults().initAnswer(), answer);
    return kj::READY_NOW;
}

kj::Promise<void> RpcPeerServer::releaseClaim(ReleaseClaimContext context)
{
    const auto params = context.getParams();
    m_service.onReleaseClaim(RequestKey(PeerCodec::text(params.getKey())),
                             ClaimId(PeerCodec::text(params.getClaim())), m_clock.now());
    return kj::READY_NOW;
}

kj::Promise<void> RpcPeerServer::claimStatus(ClaimStatusContext context)
{
    const auto params = context.getParams();
    const ClaimAnswer answer = m_service.onClaimStatus(RequestKey(PeerCodec::text(params.getKey())),
                                                       ClaimId(PeerCodec::text(params.getClaim())));
    PeerCodec::write(context.getResults().initAnswer(), answer);
    return kj::READY_NOW;
}

kj::Promise<void> RpcPeerServer::copyClaims(CopyClaimsContext context)
{
    const std::vector<ClaimEntry> claims = m_service.onCopyClaims();
    PeerCodec::writeList(context.getResults().initClaims(static_cast<unsigned>(claims.size())),
                         claims);
    return kj::READY_NOW;
}

kj::Promise<void> RpcPeerServer::keep(KeepContext context)
{
    const auto records = PeerCodec::readList<KeptRecord>(context.getParams().getRecords());
    const std::vector<KeptRecord> present = m_service.onStoreReplicas(records, m_clock.now());
    PeerCodec::writeList(context.getResults().initPresent(static_cast<unsigned>(present.size())),
                         present);
    return kj::READY_NOW;
}

kj::Promise<void> RpcPeerServer::fetchKept(FetchKeptContext context)
{
    const auto params = context.getParams();
    const std::optional<KeptRecord> record = m_service.onFetchReplica(
        PeerCodec::fromWire(params.getKind()), PeerCodec::text(params.getKey()), m_clock.now());
    context.getResults().setFound(record.has_value());
    if (record) {
        PeerCodec::write(context.getResults().initRecord(), *record);
    }
    return kj::READY_NOW;
}

kj::Promise<void> RpcPeerServer::dropKept(DropKeptContext context)
{
    std::vector<std::string> keys;
    for (auto key : context.getParams().getKeys()) {
        keys.push_back(PeerCodec::text(key));
    }
    m_service.onDeleteReplicas(PeerCodec::fromWire(context.getParams().getKind()), keys);
    return kj::READY_NOW;
}

kj::Promise<void> RpcPeerServer::takePermit(TakePermitContext context)
{
    const auto params = context.getParams();
    const PermitAnswer answer = m_service.onTakePermit(
        InstanceId(PeerCodec::text(params.getBackend())),
        StartId(PeerCodec::text(params.getStartId())), m_caller, m_clock.now());
    context.getResults().setPermit(answer.permit);
    context.getResults().setReason(answer.reason);
    return kj::READY_NOW;
}

kj::Promise<void> RpcPeerServer::returnPermit(ReturnPermitContext context)
{
    const auto params = context.getParams();
    m_service.onReturnPermit(InstanceId(PeerCodec::text(params.getBackend())),
                             PeerCodec::text(params.getPermit()), m_clock.now());
    return kj::READY_NOW;
}

} // namespace lycheearch
