#include "Peer/PeerAuthenticator.h"

#include "Base/Hash.h"

namespace lycheearch {

PeerAuthenticator::PeerAuthenticator(std::string peerKey)
    : m_peerKey(std::move(peerKey))
{
}

std::string PeerAuthenticator::initiatorProof(const InstanceId &initiator,
                                              const std::string &nonce) const
{
    return hmacHex(m_peerKey, "opener\n" + initiator.value() + "\n" + nonce);
}

std::string PeerAuthenticator::acceptorProof(const InstanceId &initiator,
                                             const std::string &nonce) const
{
    return hmacHex(m_peerKey, "acceptor\n" + initiator.value() + "\n" + nonce);
}

bool PeerAuthenticator::verifyInitiatorProof(const InstanceId &initiator, const std::string &nonce,
                                             const std::string &proof) const
{
    return equalInConstantTime(initiatorProof(initiator, nonce), proof);
}

bool PeerAuthenticator::verifyAcceptorProof(const InstanceId &initiator, const std::string &nonce,
                                            const std::string &proof) const
{
    return equalInConstantTime(acceptorProof(initiator, nonce), proof);
}

} // namespace lycheearch
