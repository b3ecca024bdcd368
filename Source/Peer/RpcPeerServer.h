#pragma once

#include <deque>
#include <string>

#include "Peer/PeerAuthenticator.h"
#include "Peer/PeerService.h"
#include "Peer/peer.capnp.h"

namespace lycheearch {

/// Bootstrap capability: gives the Peer capability to callers that hold the peer key.
class RpcGate final : public wire::Gate::Server
{
public:
    RpcGate(const PeerAuthenticator &authenticator, PeerService &service, const Clock &clock);

protected:
    kj::Promise<void> challenge(ChallengeContext context) override;
    kj::Promise<void> open(OpenContext context) override;

private:
    bool consumeNonce(const std::string &nonce);

    const PeerAuthenticator &m_authenticator;
    PeerService &m_service;
    const Clock &m_clock;
    std::deque<std::string> m_nonces; ///< Given out and not yet used, oldest first.
};

/// Hands the calls of one proved peer to the service.
class RpcPeer final : public wire::Peer::Server
{
public:
    RpcPeer(InstanceId caller, PeerService &service, const Clock &clock);

protected:
    kj::Promise<void> exchange(ExchangeContext context) override;
    kj::Promise<void> fetchConfig(FetchConfigContext context) override;
    kj::Promise<void> askClaim(AskClaimContext context) override;
    kj::Promise<void> releaseClaim(ReleaseClaimContext context) override;
    kj::Promise<void> claimStatus(ClaimStatusContext context) override;
    kj::Promise<void> copyClaims(CopyClaimsContext context) override;
    kj::Promise<void> keep(KeepContext context) override;
    kj::Promise<void> fetchKept(FetchKeptContext context) override;
    kj::Promise<void> dropKept(DropKeptContext context) override;
    kj::Promise<void> takePermit(TakePermitContext context) override;
    kj::Promise<void> returnPermit(ReturnPermitContext context) override;

private:
    InstanceId m_caller;
    PeerService &m_service;
    const Clock &m_clock;
};

} // namespace lycheearch
