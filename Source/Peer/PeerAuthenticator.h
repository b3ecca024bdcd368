#pragma once

#include <string>

#include "Base/Ids.h"

namespace lycheearch {

/// Proves by HMAC that both ends of a peer connection hold the shared peer key.
class PeerAuthenticator
{
public:
    explicit PeerAuthenticator(std::string peerKey);

    /// Proof of the daemon that opens the connection.
    std::string openerProof(const InstanceId &opener, const std::string &nonce) const;
    /// Proof of the daemon that accepted it.
    std::string acceptorProof(const InstanceId &opener, const std::string &nonce) const;

    bool isOpener(const InstanceId &opener, const std::string &nonce,
                  const std::string &proof) const;
    bool isAcceptor(const InstanceId &opener, const std::string &nonce,
                    const std::string &proof) const;

private:
    std::string m_peerKey;
};

} // namespace lycheearch
