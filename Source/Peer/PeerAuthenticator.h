#pragma once

#include <string>

#include "Base/Ids.h"

namespace lycheearch {

/// Mutual challenge-response authentication of the two ends of a peer connection, so that no
/// process without the shared peer key can act as a daemon. Each end sends a proof that it has the
/// key: the HMAC, in hexadecimal, of its role, the id of the instance that opens the connection and
/// a nonce from the accepting daemon.
class PeerAuthenticator
{
public:
    explicit PeerAuthenticator(std::string peerKey);

    /// Proof of the daemon that opens the connection.
    std::string initiatorProof(const InstanceId &initiator, const std::string &nonce) const;
    /// Proof of the daemon that accepts the connection.
    std::string acceptorProof(const InstanceId &initiator, const std::string &nonce) const;

    /// Whether a received proof is valid. The comparison takes constant time.
    bool verifyInitiatorProof(const InstanceId &initiator, const std::string &nonce,
                              const std::string &proof) const;
    bool verifyAcceptorProof(const InstanceId &initiator, const std::string &nonce,
                             const std::string &proof) const;

private:
    std::string m_peerKey;
};

} // namespace lycheearch
