#pragma once

#include "Base/Error.h"
#include "Config/ConfigState.h"

namespace lycheearch {

/// Checks whether an account may send requests to a version now. A draining version accepts only
/// requests of its sessions (\p inSession). Fails with VersionWithdrawn or AccountForbidsModel. To
/// be called again before each send, because the configuration can change while a request waits.
Status checkVersion(const ConfigState &config, const AccountId &account, const VersionId &version,
                    bool inSession);

/// Checks whether an account may call an operation of a plain service now. Fails with
/// AccountForbidsModel.
Status checkService(const ConfigState &config, const AccountId &account, const ServiceId &service,
                    const OperationName &operation);

} // namespace lycheearch
