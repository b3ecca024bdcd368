#pragma once

#include "Base/Error.h"
#include "Config/ConfigState.h"

namespace lycheearch {

/// Whether an account may send work to a version now. Checked again immediately before each send,
/// because the configuration can change while a request waits.
Status checkVersion(const ConfigState &config, const AccountId &account, const VersionId &version,
                    bool ofSession);

/// Whether an account may call an operation of a plain service now.
Status checkService(const ConfigState &config, const AccountId &account, const ServiceId &service,
                    const OperationName &operation);

} // namespace lycheearch
