#pragma once

#include "Request/Filter.h"
#include "State/ConfigStore.h"

namespace lycheearch {

/// Looks up the client account of the bearer key in the configuration in force. Fails with NotReady
/// without a manifest, and with Unauthenticated if no account has the key.
class AuthenticateFilter : public Filter
{
public:
    explicit AuthenticateFilter(const ConfigStore &config);
    Status apply(RequestContext &context) override;

private:
    const ConfigStore &m_config;
};

} // namespace lycheearch
