#pragma once

#include <optional>

#include "Routing/BackendPicker.h"

namespace lycheearch {

/// Values of log fields, and causes in responses.
const char *outcomeName(SendOutcome outcome);
const char *pickFaultName(PickFault fault);

/// Whether the outcome counts as a success or a failure of the backend server's version; nothing if
/// it doesn't depend on the version.
std::optional<bool> versionSuccess(SendOutcome outcome);

} // namespace lycheearch
