#pragma once

#include <string>

#include "Base/Ids.h"

namespace lycheearch {

/// Mutual authentication of the two ends of a peer connection, so that no process without the
/// shared peer key can act as a daemon. A proof is the HMAC, in hexadecimal, of the end's role, the
/// instance that opens the connection and a nonce of the accepting daemon.
class PeerAuthenticator
{
public:
    explicit PeerAuthenticator(std::string peerKey);

    /// Proof of the daemon that opens the connection.
    std::string openerProof(const InstanceId &opener, const std::string &nonce) const;
    /// Proof of the daemon that accepts it.
    std::string acceptorProof(const InstanceId &opener, const std::string &nonce) const;

    /// Check a received proof, in constant time.
    bool verifyOpenerProof(const InstanceId &opener, const std::string &nonce,
                           const std::string &proof) const;
    bool verifyAcceptorProof(const InstanceId &opener, const std::string &nonce,
                             const std::string &proof) const;

private:
    std::string m_peerKey;
};

} // namespace lycheearch
