#include "Peer/PeerAuthenticator.h"

#include "Base/Hash.h"

namespace lycheearch {

PeerAuthenticator::PeerAuthenticator(std::string peerKey)
    : m_peerKey(std::move(peerKey))
{
}

std::string PeerAuthenticator::openerProof(const InstanceId &opener, const std::string &nonce) const
{
    return hmacHex(m_peerKey, "opener\n" + opener.value() + "\n" + nonce);
}

std::string PeerAuthenticator::acceptorProof(const InstanceId &opener,
                                             const std::string &nonce) const
{
    return hmacHex(m_peerKey, "acceptor\n" + opener.value() + "\n" + nonce);
}

bool PeerAuthenticator::verifyOpenerProof(const InstanceId &opener, const std::string &nonce,
                                          const std::string &proof) const
{
    return equalInConstantTime(openerProof(opener, nonce), proof);
}

bool PeerAuthenticator::verifyAcceptorProof(const InstanceId &opener, const std::string &nonce,
                                            const std::string &proof) const
{
    return equalInConstantTime(acceptorProof(opener, nonce), proof);
}

} // namespace lycheearch
