#pragma once

#include <deque>
#include <string>

#include "Peer/PeerAuthenticator.h"
#include "Peer/PeerService.h"
#include "Peer/peer.capnp.h"

namespace lycheearch {

/// Bootstrap capability of the peer server: returns the Peer capability only to callers that prove
/// that they have the peer key.
class RpcGateServer final : public wire::Gate::Server
{
public:
    RpcGateServer(const PeerAuthenticator &authenticator, PeerService &service, const Clock &clock);

protected:
    kj::Promise<void> challenge(ChallengeContext context) override;
    kj::Promise<void> open(OpenContext context) override;

private:
    /// Whether \p nonce was issued and not yet used. It can be used once, so that a recorded proof
    /// cannot be replayed.
    bool consumeNonce(const std::string &nonce);

    const PeerAuthenticator &m_authenticator;
    PeerService &m_service;
    const Clock &m_clock;
    std::deque<std::string> m_nonces; ///< Issued and not yet used, oldest first.
};

/// Peer capability of one authenticated caller: decodes its calls and passes them to the service.
class RpcPeerServer final : public wire::Peer::Server
{
public:
    RpcPeerServer(InstanceId caller, PeerService &service, const Clock &clock);

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
